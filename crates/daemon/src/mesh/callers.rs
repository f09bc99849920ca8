//! The port where callers and the target beside this daemon send their requests.

use super::request;
use super::serve::{self, Answered, NoAnswer};
use super::{Mesh, sleep_ms};
use async_net::TcpListener;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::CONNECTION;
use hyper::{Request, Response, StatusCode};
use std::rc::Rc;

/// The pause after a failed accept, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 50;

/// Accepts callers.
pub async fn accept(mesh: Rc<Mesh>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep_ms(ACCEPT_PAUSE_MS).await;
            continue;
        };
        let idle_ms = u64::from(mesh.config.limits().idle_timeout_ms);
        let task_mesh = mesh.clone();
        mesh.spawn(async move {
            let handler_mesh = task_mesh.clone();
            let handle = move |request| handle(handler_mesh.clone(), request);
            serve::connection(task_mesh, stream, idle_ms, handle).await;
        });
    }
}

/// Counts a request for as long as it is being answered.
struct Counted(Rc<Mesh>);

impl Counted {
    fn new(mesh: &Rc<Mesh>) -> Self {
        mesh.in_flight.set(mesh.in_flight.get() + 1);
        Self(mesh.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

async fn handle(mesh: Rc<Mesh>, request: Request<Incoming>) -> Answered {
    let _counted = Counted::new(&mesh);
    let arrived_ms = mesh.now_ms();
    let body_bytes_max = mesh.config.limits().body_bytes_max as usize;
    let (head, body) = request.into_parts();
    let declared = body.size_hint().lower();
    if declared > body_bytes_max as u64 {
        return Ok(too_large());
    }
    let body = match Limited::new(body, body_bytes_max).collect().await {
        Ok(collected) => collected.to_bytes(),
        Err(error) if error.is::<LengthLimitError>() => return Ok(too_large()),
        Err(_) => return Err(NoAnswer::RequestCut),
    };
    Ok(request::serve(&mesh, head, body, arrived_ms).await)
}

fn too_large() -> Response<Full<hyper::body::Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::PAYLOAD_TOO_LARGE;
    response.headers_mut().insert(CONNECTION, serve::CLOSE);
    response
}
