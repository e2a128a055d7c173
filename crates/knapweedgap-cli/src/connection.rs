//! One HTTP connection for each call to an instance.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_lite::io::AsyncReadExt;
use http_types::{Method, Request, Url, headers};
use knapweedgap_operator::codec::LEN_MAX;
use knapweedgap_operator::transport::{Error, Transport};

/// Calls one instance.
#[derive(Debug)]
pub struct Http {
    address: SocketAddr,
    shown: String,
    timeout: Duration,
}

impl Http {
    pub(crate) fn new(address: SocketAddr, timeout: Duration) -> Http {
        Http { address, shown: address.to_string(), timeout }
    }

    async fn within<T>(&self, work: impl Future<Output = Result<T, String>>) -> Result<T, String> {
        let timeout = async {
            Timer::after(self.timeout).await;
            Err(format!("no answer within {:?}", self.timeout))
        };
        or(work, timeout).await
    }
}

impl Transport for Http {
    async fn call(
        &self,
        method: Method,
        path_and_query: &str,
        body: Option<Vec<u8>>,
    ) -> Result<(u16, Vec<u8>), Error> {
        let request = request(self.address, method, path_and_query, body)
            .map_err(|error| Error::NotSent(error.to_string()))?;
        let connect = async {
            let stream = Async::<TcpStream>::connect(self.address).await;
            stream.map_err(|error| error.to_string())
        };
        let stream = self.within(connect).await.map_err(Error::NotSent)?;
        self.within(exchange(stream, request)).await.map_err(Error::NoAnswer)
    }

    fn address(&self) -> &str {
        &self.shown
    }
}

fn request(
    address: SocketAddr,
    method: Method,
    path_and_query: &str,
    body: Option<Vec<u8>>,
) -> Result<Request, http_types::Error> {
    let url = Url::parse(&format!("http://{address}{path_and_query}"))?;
    let mut request = Request::new(method, url);
    request.insert_header(headers::CONNECTION, "close");
    if let Some(body) = body {
        request.set_body(body);
        request.insert_header(headers::CONTENT_TYPE, "application/json");
    }
    Ok(request)
}

async fn exchange(stream: Async<TcpStream>, request: Request) -> Result<(u16, Vec<u8>), String> {
    let mut response =
        async_h1::connect(stream, request).await.map_err(|error| error.to_string())?;
    let expected = response.len();
    let limit = u64::try_from(LEN_MAX).unwrap_or(u64::MAX);
    let mut bytes = Vec::new();
    let body = response.take_body();
    body.take(limit + 1).read_to_end(&mut bytes).await.map_err(|error| error.to_string())?;
    if bytes.len() > LEN_MAX {
        return Err(format!("the answer is longer than {LEN_MAX} bytes"));
    }
    // The library ends a truncated body without an error.
    if expected.is_some_and(|expected| expected != bytes.len()) {
        return Err("the answer is truncated".to_owned());
    }
    Ok((u16::from(response.status()), bytes))
}
