//! Helpers that run stand-ins and a test on one executor, with a time limit.

use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;

pub type Executor = Rc<LocalExecutor<'static>>;

const TEST_TIMEOUT: Duration = Duration::from_secs(30);

pub fn run<Test, Running>(test: Test)
where
    Test: FnOnce(Executor) -> Running,
    Running: Future<Output = ()>,
{
    let executor = Executor::default();
    let timeout = async {
        Timer::after(TEST_TIMEOUT).await;
        panic!("test did not end within {TEST_TIMEOUT:?}");
    };
    async_io::block_on(executor.run(test(executor.clone()).or(timeout)));
}

pub fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    (listener, address)
}
