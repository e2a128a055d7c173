//! Tests the command-line conventions that the system tests rely on to start the programs.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Process of a program, killed when dropped.
struct Program(Child);

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start(path: &str, arguments: &[&str]) -> (Program, SocketAddr) {
    let mut command = Command::new(path);
    command.args(["--listen", "127.0.0.1:0"]).args(arguments).stdout(Stdio::piped());
    let mut child = command.spawn().expect("start");
    let output = child.stdout.take().expect("output");
    let program = Program(child);
    let mut line = String::new();
    BufReader::new(output).read_line(&mut line).expect("first line");
    let address = line.trim_end().strip_prefix("listening ").expect("prefix");
    (program, address.parse().expect("address"))
}

#[test]
fn programs_print_their_listening_address() {
    let (_kv, kv) = start(env!("CARGO_BIN_EXE_standin-kv"), &[]);
    let (_list, list) = start(env!("CARGO_BIN_EXE_standin-inventory"), &[]);
    let target = kv.to_string();
    let arguments = ["--target", target.as_str(), "--control", "127.0.0.1:0"];
    let (_proxy, proxy) = start(env!("CARGO_BIN_EXE_standin-proxy"), &arguments);
    for address in [kv, list, proxy] {
        // The programs must serve although the test has closed their standard output.
        let mut stream = TcpStream::connect(address).expect("connect");
        stream.set_read_timeout(Some(Duration::from_secs(5))).expect("timeout");
        stream.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").expect("request");
        let mut answer = [0; 9];
        stream.read_exact(&mut answer).expect("answer");
        assert_eq!(&answer, b"HTTP/1.1 ");
    }
}
