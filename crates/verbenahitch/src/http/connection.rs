//! Serves the requests of one connection.

use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use rocket::local::asynchronous::Client;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use super::dispatch::dispatch;
use super::pool::Slot;
use super::stream::Stream;

/// Part of the read buffer that is left beside the largest head, in bytes.
const BUFFER_REST: usize = 8 << 10;

/// Time for the answer to a request whose body is refused because its connection is evicted.
const REFUSAL_TIME: Duration = Duration::from_millis(200);

type Answering = Pin<Box<dyn Future<Output = io::Result<Response<Full<Bytes>>>> + Send>>;

/// Serves a connection until it is closed, evicted, or idle after `stop`.
pub(super) async fn serve(
    socket: TcpStream,
    peer: SocketAddr,
    client: Arc<Client>,
    slot: Slot,
    stop: CancellationToken,
) {
    let slot = Arc::new(slot);
    let stream = TokioIo::new(Stream::new(socket, Arc::clone(&slot)));
    let service = service_fn({
        let slot = Arc::clone(&slot);
        move |request| answer(Arc::clone(&client), peer, Arc::clone(&slot), request)
    });
    let mut connection = Builder::new()
        .header_read_timeout(None)
        .max_buf_size(slot.head_limit() + BUFFER_REST)
        .serve_connection(stream, service);
    let ended = {
        let mut is_stopping = false;
        loop {
            tokio::select! {
                biased;
                () = slot.eviction().cancelled() => {
                    if !slot.is_receiving_body() {
                        return;
                    }
                    // The handler refuses the request, since its body was not read.
                    let refusal = poll_fn(|cx| connection.poll_without_shutdown(cx));
                    let refused = tokio::time::timeout(REFUSAL_TIME, refusal).await;
                    log::trace!("connection of {peer} evicted in a body: {refused:?}");
                    return;
                }
                () = stop.cancelled(), if !is_stopping => {
                    is_stopping = true;
                    Pin::new(&mut connection).graceful_shutdown();
                }
                ended = poll_fn(|cx| connection.poll_without_shutdown(cx)) => break ended,
            }
        }
    };
    match ended {
        Ok(()) => connection.into_parts().io.into_inner().linger().await,
        Err(error) => log::debug!("connection of {peer} failed: {error}"),
    }
}

/// Answers a request in a task of its own, as a handler goes on if its client goes away.
fn answer(
    client: Arc<Client>,
    peer: SocketAddr,
    slot: Arc<Slot>,
    request: Request<Incoming>,
) -> Answering {
    if request.body().is_end_stream() {
        // Without a body it needs no more memory.
        slot.begin_service(0);
    } else {
        slot.begin_body();
    }
    let handled = tokio::spawn({
        // What a handler holds counts until it ends, also if its client has left.
        let (slot, held) = (Arc::clone(&slot), Arc::clone(&slot));
        async move {
            let response = dispatch(&client, peer, request, slot).await;
            drop(held);
            response
        }
    });
    Box::pin(async move {
        let response = handled.await.map_err(io::Error::other)?;
        slot.begin_answer(usize::try_from(response.body().size_hint().lower()).unwrap_or(0));
        Ok(response)
    })
}
