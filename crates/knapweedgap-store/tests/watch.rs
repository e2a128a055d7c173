//! Guards against watches that lose or repeat changes, or hang, when a stream violates the
//! protocol.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use futures_lite::future::block_on;
use knapweedgap_core::revision::Revision;
use knapweedgap_store::etcd::Gateway;
use knapweedgap_store::{Change, Error, Store};
use proptest::prelude::*;
use serde_json::{Value, json};

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Chunk with which a service that closes the watch ends the stream.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

fn chunk(bytes: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
}

fn line(message: &Value) -> Vec<u8> {
    format!("{message}\n").into_bytes()
}

fn created() -> Vec<u8> {
    line(&json!({ "result": { "header": { "revision": "9" }, "created": true } }))
}

fn events(revisions: &[u64]) -> Vec<u8> {
    let event = |revision: &u64| {
        let revision = revision.to_string();
        json!({ "kv": { "key": STANDARD.encode("/s/a"), "version": "1", "mod_revision": revision } })
    };
    let events: Vec<Value> = revisions.iter().map(event).collect();
    line(&json!({ "result": { "header": { "revision": "99" }, "events": events } }))
}

/// Starts a server that answers one connection with `answer` and closes it. Returns its address.
fn serve_once(answer: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accept");
        let mut buffer = [0; 4096];
        let _ = stream.read(&mut buffer);
        let _ = stream.write_all(&answer);
        let _ = stream.shutdown(Shutdown::Write);
        // Closing with unread request bytes would reset the connection and discard data that the
        // client has not read yet.
        while stream.read(&mut buffer).is_ok_and(|count| count > 0) {}
    });
    address
}

/// Watches a stream of `chunks` from revision 10 until it ends. Returns the revisions of the
/// reported changes and the final error.
fn watch(chunks: &[Vec<u8>], end: &[u8]) -> (Vec<u64>, Error) {
    let body: Vec<u8> = chunks.iter().flat_map(|bytes| chunk(bytes)).collect();
    let address = serve_once([HEAD, &body, end].concat());
    let store =
        Gateway::builder().endpoint(address).call_timeout(CALL_TIMEOUT).stall_timeout(CALL_TIMEOUT);
    let store = store.build();
    let mut seen = Vec::new();
    block_on(async {
        let opened = store.watch("/s/".parse().expect("key"), Revision::new(10)).await;
        let mut watch = match opened {
            Ok(watch) => watch,
            Err(error) => return (seen, error),
        };
        loop {
            match watch.next().await {
                Ok(changes) => seen.extend(changes.iter().map(Change::revision).map(Revision::get)),
                Err(error) => return (seen, error),
            }
        }
    })
}

#[test]
fn closed_stream_is_an_error_after_its_last_change() {
    for end in [LAST_CHUNK, b""] {
        let (seen, error) = watch(&[created(), events(&[10, 11])], end);
        assert_eq!(seen, [10, 11]);
        assert!(matches!(error, Error::Unavailable(_)), "{error:?}");
    }
}

#[test]
fn repeated_or_unordered_change_is_invalid() {
    for second in [events(&[11]), events(&[13, 12])] {
        let (seen, error) = watch(&[created(), events(&[10, 11]), second], LAST_CHUNK);
        assert_eq!(seen, [10, 11]);
        assert!(matches!(error, Error::Invalid { .. }), "{error:?}");
    }
}

#[test]
fn messages_split_across_chunks_or_sharing_one_chunk_are_decoded() {
    let bytes = [created(), events(&[10]), events(&[11, 12])].concat();
    let (joined, _) = watch(std::slice::from_ref(&bytes), LAST_CHUNK);
    assert_eq!(joined, [10, 11, 12]);
    let parts: Vec<Vec<u8>> = bytes.chunks(7).map(<[u8]>::to_vec).collect();
    let (split, _) = watch(&parts, LAST_CHUNK);
    assert_eq!(split, [10, 11, 12]);
}

#[test]
fn compaction_is_reported_with_its_revision() {
    let canceled = json!({ "result": {
        "header": { "revision": "99" }, "canceled": true, "compact_revision": "50",
    } });
    let (_, error) = watch(&[created(), line(&canceled)], LAST_CHUNK);
    assert_eq!(error, Error::Compacted(Revision::new(50)));
}

#[test]
fn message_without_an_end_is_refused_at_the_length_limit() {
    let part = vec![b' '; 1024 * 1024];
    let mut chunks = vec![created()];
    chunks.resize(20, part);
    let (_, error) = watch(&chunks, LAST_CHUNK);
    assert!(matches!(error, Error::Invalid { .. }), "{error:?}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn arbitrary_stream_ends_with_an_error(bytes in prop::collection::vec(any::<u8>(), 1..600)) {
        let (seen, _) = watch(&[created(), bytes], LAST_CHUNK);
        prop_assert!(seen.is_empty());
    }
}
