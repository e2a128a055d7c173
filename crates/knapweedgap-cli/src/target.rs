//! Arguments that all commands have in common.

use std::fs::File;
use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bpaf::{Parser, construct, long};
use knapweedgap_settings::duration::Text;

use crate::failure::Failure;

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Instances to call and output format.
#[derive(Debug, Clone)]
pub struct Target {
    instances: Vec<SocketAddr>,
    pub(crate) timeout: Duration,
    pub(crate) json: bool,
}

impl Target {
    pub(crate) fn parser() -> impl Parser<Target> {
        let instances = long("instance")
            .help(
                "Address of an instance, as 10.0.0.1:7600. May be repeated; the instances are \
                   tried in this order. Default: KNAPWEEDGAP_INSTANCES, separated by commas",
            )
            .argument::<SocketAddr>("ADDR")
            .many();
        let timeout = long("timeout")
            .help("Timeout for the response of one instance. Default: 10s")
            .argument::<Text>("TIME")
            .map(Text::get)
            .fallback(DEFAULT_TIMEOUT);
        let json = long("json").help("Print the result as JSON").switch();
        construct!(Target { instances, timeout, json })
    }

    /// Returns the addresses given as arguments or, without any, those in the environment variable.
    pub(crate) fn addresses(&self, variable: Option<&str>) -> Result<Vec<SocketAddr>, Failure> {
        if !self.instances.is_empty() {
            return Ok(self.instances.clone());
        }
        let mut addresses = Vec::new();
        for part in variable.unwrap_or_default().split(',') {
            let part = part.trim();
            if part.is_empty() {
                continue;
            }
            let address = part.parse().map_err(|_| {
                let help = "write addresses as 10.0.0.1:7600, separated by commas";
                Failure::Usage(format!("KNAPWEEDGAP_INSTANCES: invalid address {part:?}; {help}"))
            })?;
            addresses.push(address);
        }
        Ok(addresses)
    }
}

/// Largest file that a command reads, in bytes.
const FILE_LEN_MAX: u64 = 4 << 20;

/// Reads a file of at most [`FILE_LEN_MAX`] bytes; `-` stands for standard input.
pub(crate) fn read_file(path: &Path) -> Result<Vec<u8>, Failure> {
    let failure = |error: std::io::Error| Failure::Usage(format!("{}: {error}", path.display()));
    let input: Box<dyn Read> = if path == Path::new("-") {
        Box::new(std::io::stdin())
    } else {
        Box::new(File::open(path).map_err(failure)?)
    };
    let mut bytes = Vec::new();
    input.take(FILE_LEN_MAX + 1).read_to_end(&mut bytes).map_err(failure)?;
    if u64::try_from(bytes.len()).unwrap_or(u64::MAX) > FILE_LEN_MAX {
        let text = format!("{}: larger than {FILE_LEN_MAX} bytes", path.display());
        return Err(Failure::Usage(text));
    }
    Ok(bytes)
}
