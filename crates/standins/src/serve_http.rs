//! What the HTTP servers of the stand-ins share: executor threads, the accept loop and parsing of
//! requests.

use async_executor::Executor;
use async_io::block_on;
use async_net::{TcpListener, TcpStream};
use http_types::{Request, Response};
use pomeloreach_wire::http;
use serde::de::DeserializeOwned;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

/// The largest request body that a stand-in accepts, in bytes.
pub const REQUEST_BODY_BYTES_MAX: usize = 4 * 1024 * 1024;

/// Runs `main` on the calling thread until it ends. Meanwhile the tasks of `executor` run on this
/// thread and on `threads - 1` others.
pub fn run_on_threads<T>(
    threads: usize,
    executor: &Arc<Executor<'static>>,
    main: impl Future<Output = T>,
) -> T {
    // Dropping `_stop` at the end closes the channel, which ends the other threads.
    let (_stop, stopped) = async_channel::bounded::<()>(1);
    for _ in 1..threads {
        let (executor, stopped) = (executor.clone(), stopped.clone());
        std::thread::spawn(move || {
            block_on(executor.run(async {
                stopped.recv().await.ok();
            }));
        });
    }
    block_on(executor.run(main))
}

/// Accepts connections on `addr` and calls `handler` for each request. The handler also gets the
/// connection, to notice when the caller disconnects.
pub async fn serve<F, Fut>(
    executor: Arc<Executor<'static>>,
    addr: SocketAddr,
    handler: F,
) -> std::io::Result<()>
where
    F: Fn(Request, TcpStream) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response> + Send + 'static,
{
    let listener = TcpListener::bind(addr).await?;
    loop {
        let (stream, _) = listener.accept().await?;
        let handler = handler.clone();
        let connection = stream.clone();
        let handler = move |request| {
            let response = handler(request, connection.clone());
            async move { (response.await, ()) }
        };
        executor.spawn(http::serve(stream, handler)).detach();
    }
}

/// Returns the value of a query parameter.
pub fn query_param(request: &Request, name: &str) -> Option<String> {
    let mut pairs = request.url().query_pairs();
    pairs.find(|(known, _)| known == name).map(|(_, value)| value.into_owned())
}

/// Returns a query parameter as a number; 0 when it is missing or not a number.
pub fn query_param_u64(request: &Request, name: &str) -> u64 {
    query_param(request, name).and_then(|value| value.parse().ok()).unwrap_or(0)
}

/// Parses the JSON body of a request. The error is the response to send.
pub async fn json_body<T: DeserializeOwned>(request: &mut Request) -> Result<T, Response> {
    let bytes = http::read_request_body(request, REQUEST_BODY_BYTES_MAX)
        .await
        .map_err(http::body_error_response)?;
    serde_json::from_slice(&bytes).map_err(|error| {
        let code = pomeloreach_core::code::ResultCode::Malformed;
        http::error_response(code, error.to_string())
    })
}
