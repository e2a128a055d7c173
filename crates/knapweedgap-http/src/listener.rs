//! Closing a listener without a reset of connections that clients consider open.

use std::net::TcpListener;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::FutureExt;
use socket2::{SockFilter, SockRef};

use crate::{Socket, server};

/// Time in which a handshake ends whose first packet has arrived: a round trip between regions.
const HANDSHAKE_TIME: Duration = Duration::from_millis(100);

/// Classic BPF program for a TCP socket that drops the first packet of a handshake and passes all
/// others. It tests the flags at byte 13 of the TCP header: SYN without ACK.
const DROP_NEW: [SockFilter; 5] = [
    SockFilter::new(0x30, 0, 0, 13),
    SockFilter::new(0x54, 0, 0, 0x12),
    SockFilter::new(0x15, 0, 1, 0x02),
    SockFilter::new(0x06, 0, 0, 0),
    SockFilter::new(0x06, 0, 0, u32::MAX),
];

/// Closes a listener and passes the connections that still arrive to `start`.
///
/// The system resets connections that are established between the last accept and the close.
/// Therefore new handshakes are dropped first, and those in progress are awaited. A client whose
/// handshake is dropped repeats it after a second and is refused, and so can try another instance.
///
/// # Errors
///
/// Returns the error of a failed accept. The listener is closed nevertheless.
pub async fn close<Start>(listener: Async<TcpListener>, mut start: Start) -> std::io::Result<()>
where
    Start: FnMut(Socket),
{
    // Without the filter the listener is closed at once, with the risk of a reset.
    match SockRef::from(listener.get_ref()).attach_filter(&DROP_NEW) {
        Ok(()) => accept_handshakes(&listener, &mut start).await?,
        Err(error) => log::info!("[traffic] new connections are not filtered: {error}"),
    }
    loop {
        match listener.get_ref().accept() {
            Ok((stream, _)) => start(server::socket(stream)?),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        }
    }
}

/// Accepts connections for [`HANDSHAKE_TIME`].
async fn accept_handshakes<Start>(
    listener: &Async<TcpListener>,
    start: &mut Start,
) -> std::io::Result<()>
where
    Start: FnMut(Socket),
{
    let accept = async {
        loop {
            let (stream, _) = listener.accept().await?;
            start(server::socket(stream.into_inner()?)?);
        }
    };
    let expire = async {
        Timer::after(HANDSHAKE_TIME).await;
        Ok(())
    };
    accept.or(expire).await
}
