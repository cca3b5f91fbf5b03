//! Hands requests to Rocket.
//!
//! Rocket 0.5 accepts connections itself, without limits on their number, their heads or their
//! time. Here hyper serves the connections, as in Rocket, and Rocket's local client dispatches
//! the requests to its routes. Bodies bypass Rocket, which would read their first bytes before it
//! calls a handler; handlers take them by the request guard [`Body`].

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use rocket::http::uri::Host;
use rocket::http::{Header, Method};
use rocket::local::asynchronous::{Client, LocalRequest, LocalResponse};

use super::body::Body;
use super::pool::Slot;

/// Target that Rocket's catcher of bad requests answers.
const BAD_TARGET: &str = "";

/// Answers a request by Rocket's routes and catchers.
pub(super) async fn dispatch(
    client: &Client,
    peer: SocketAddr,
    request: Request<Incoming>,
    slot: Arc<Slot>,
) -> Response<Full<Bytes>> {
    let (head, incoming) = request.into_parts();
    let local = local_request(client, &head).remote(peer);
    Body::attach(local.inner(), incoming, slot);
    let answer = local.dispatch().await;
    match response(answer).await {
        Ok(response) => response,
        Err(cause) => {
            log::error!(
                "the answer to {} {} is lost: {cause}",
                head.method,
                head.uri
            );
            let mut response = Response::default();
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}

fn local_request<'c>(client: &'c Client, head: &Parts) -> LocalRequest<'c> {
    let method = head.method.as_str().parse::<Method>().ok();
    let target = head.uri.path_and_query().map(|target| target.to_string());
    let mut request = match (method, target) {
        (Some(method), Some(target)) => client.req(method, target),
        _ => client.req(Method::Get, BAD_TARGET),
    };
    for (name, value) in &head.headers {
        // Rocket keeps header values as text.
        match std::str::from_utf8(value.as_bytes()) {
            Ok(value) => request.add_header(Header::new(name.to_string(), value.to_owned())),
            Err(error) => log::debug!("header {name} was dropped: {error}"),
        }
    }
    let host = request.headers().get_one("Host").map(str::to_owned);
    if let Some(host) = host.and_then(|host| Host::parse_owned(host).ok()) {
        request.inner_mut().set_host(host);
    }
    request
}

async fn response(answer: LocalResponse<'_>) -> Result<Response<Full<Bytes>>, String> {
    let mut builder = Response::builder().status(answer.status().code);
    for header in answer.headers().iter() {
        builder = builder.header(header.name().as_str(), header.value());
    }
    let size = answer.body().preset_size();
    let body = answer.into_bytes().await.unwrap_or_default();
    let response = builder.body(Full::from(body));
    let mut response = response.map_err(|error| error.to_string())?;
    // An answer to HEAD has no body but names its size.
    if let Some(size) = size {
        let fields = response.headers_mut();
        fields.insert(CONTENT_LENGTH, HeaderValue::from(size));
    }
    Ok(response)
}
