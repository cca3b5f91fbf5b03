//! Body of a request, read within the limits of its listener.

use std::convert::Infallible;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use rocket::Request;
use rocket::request::{FromRequest, Outcome};
use snafu::Snafu;

use super::pool::{SEGMENT, Slot};

/// Why a body was not read; the request must not run.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// It is too large.
    #[snafu(display("the body is above the limit of {limit} bytes"))]
    TooLarge {
        /// Limit in bytes.
        limit: u64,
    },
    /// It took too long, or the host needs the memory for others.
    #[snafu(display("the body did not arrive before others needed its place"))]
    Evicted,
    /// The connection failed, or the framing is invalid.
    #[snafu(display("the body ended early: {cause}"))]
    Broken {
        /// Cause.
        cause: String,
    },
}

/// Body of a request; as a request guard, the first one takes it and all others are empty.
#[derive(Debug, Default)]
pub struct Body {
    source: Option<(Incoming, Arc<Slot>)>,
    size: usize,
}

/// Bytes in segments of one size, which the allocator can use again for any other body. A buffer that
/// grows in one piece leaves gaps behind it, in which no larger one fits.
#[derive(Debug, Default)]
pub struct Buffer {
    segments: Vec<Vec<u8>>,
    size: usize,
}

/// Holds the body of a request in its cache until a handler takes it.
#[derive(Debug, Default)]
struct Held(Mutex<Option<(Incoming, Arc<Slot>)>>);

impl Body {
    /// Attaches a body to a request.
    pub(super) fn attach(request: &Request<'_>, incoming: Incoming, slot: Arc<Slot>) {
        request.local_cache(|| Held(Mutex::new(Some((incoming, slot)))));
    }

    /// Takes the body of a request.
    pub fn take(request: &Request<'_>) -> Self {
        let held = &request.local_cache(Held::default).0;
        Self {
            source: held.lock().unwrap_or_else(PoisonError::into_inner).take(),
            size: 0,
        }
    }

    /// Next part, `None` at the end.
    ///
    /// # Errors
    ///
    /// When the connection fails or the host needs its place.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        let Some((incoming, slot)) = &mut self.source else {
            return Ok(None);
        };
        let frame = tokio::select! {
            biased;
            () = slot.eviction().cancelled(), if !incoming.is_end_stream() => {
                return Err(BodyError::Evicted);
            }
            frame = incoming.frame() => frame,
        };
        match frame {
            Some(Ok(frame)) => {
                // Trailers carry nothing that is used here.
                let part = frame.into_data().unwrap_or_default();
                self.size += part.len();
                Ok(Some(part))
            }
            Some(Err(error)) => Err(BodyError::Broken {
                cause: error.to_string(),
            }),
            None if slot.begin_service(self.size) => {
                self.source = None;
                Ok(None)
            }
            None => Err(BodyError::Evicted),
        }
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// When it has more than `limit` bytes, the connection fails, or the host needs its place.
    pub async fn read(mut self, limit: u64) -> Result<Vec<u8>, BodyError> {
        let mut buffer = Buffer::default();
        while let Some(part) = self.next().await? {
            if (buffer.len() + part.len()) as u64 > limit {
                return Err(BodyError::TooLarge { limit });
            }
            buffer.append(&part);
        }
        Ok(buffer.into_vec())
    }
}

impl Buffer {
    /// Adds a part.
    pub fn append(&mut self, mut part: &[u8]) {
        self.size += part.len();
        if self.segments.is_empty() {
            // Most bodies arrive in one part.
            self.segments.push(part.to_vec());
            return;
        }
        while !part.is_empty() {
            let room = self
                .segments
                .last()
                .map_or(0, |last| last.capacity() - last.len());
            if room == 0 {
                self.segments.push(Vec::with_capacity(SEGMENT));
                continue;
            }
            let (fitting, rest) = part.split_at(room.min(part.len()));
            if let Some(last) = self.segments.last_mut() {
                last.extend_from_slice(fitting);
            }
            part = rest;
        }
    }

    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.size
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.size == 0
    }

    /// All bytes in one piece.
    pub fn into_vec(mut self) -> Vec<u8> {
        if self.segments.len() < 2 {
            return self.segments.pop().unwrap_or_default();
        }
        let mut whole = Vec::with_capacity(self.size);
        for segment in self.segments {
            whole.extend_from_slice(&segment);
        }
        whole
    }
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Body {
    type Error = Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Infallible> {
        Outcome::Success(Self::take(request))
    }
}
