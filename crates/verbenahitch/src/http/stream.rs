//! Socket of a connection, which counts what it carries.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;

use super::pool::Slot;

/// Longest time for which a closing connection reads what its client still sends.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Largest number of bytes that a closing connection reads.
const LINGER_BYTES: u64 = 256 << 10;

/// Size of one read of a closing connection in bytes.
const LINGER_READ: usize = 4 << 10;

/// A client's socket.
pub(super) struct Stream {
    socket: TcpStream,
    slot: Arc<Slot>,
}

impl Stream {
    pub fn new(socket: TcpStream, slot: Arc<Slot>) -> Self {
        Self { socket, slot }
    }

    /// Ends the sending side and reads for a while. Closing at once would reset the connection if
    /// the client still sends, and it would not see its answer.
    pub async fn linger(mut self) {
        self.slot.begin_close();
        let close = async {
            if self.socket.shutdown().await.is_err() {
                // The client has closed it.
                return;
            }
            let mut rest = (&mut self.socket).take(LINGER_BYTES);
            let mut buffer = [0; LINGER_READ];
            while matches!(rest.read(&mut buffer).await, Ok(count) if count > 0) {}
        };
        tokio::select! {
            () = close => {}
            () = tokio::time::sleep(LINGER_TIME) => {}
            () = self.slot.eviction().cancelled() => {}
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // A connection without anything to read needs no room.
        ready!(self.socket.poll_read_ready(cx))?;
        ready!(self.slot.poll_room(cx));
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(cx, buf))?;
        let count = buf.filled().len() - before;
        if count > 0 {
            self.slot.received(count);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.socket).poll_flush(cx))?;
        self.slot.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }
}
