//! One client of a crowd: what it sends, and that it goes no further.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Connections that a client opens, one after the other has been closed.
const ROUNDS: usize = 2;

/// Connections of [`Shape::Abandon`].
const ABANDONED: usize = 10;

/// Pause before the next connection.
const ROUND_DELAY: Duration = Duration::from_millis(100);

/// Pause between two bytes of [`Shape::Trickle`].
const TRICKLE_DELAY: Duration = Duration::from_millis(500);

/// Requests that are sent ahead.
const AHEAD: usize = 2_000;

/// Time after which a crowd that is blocked counts as connected.
const SETTLE_TIME: Duration = Duration::from_secs(15);

/// Interval between two looks at a crowd that connects.
const SETTLE_INTERVAL: Duration = Duration::from_millis(20);

/// Time for which a process is watched after the crowd has sent what it sends.
const WATCH_TIME: Duration = Duration::from_secs(2);

/// What a client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// A body at once, but its last byte.
    Whole,
    /// The same in pieces of 4 KiB.
    Pieces,
    /// A body but 4 KiB, then a byte each half second.
    Trickle,
    /// A body in two chunks without the last chunk.
    LargeChunks,
    /// A body in one chunk, but its last byte.
    CutChunk,
    /// A body in chunks of 8 bytes without the last chunk.
    SmallChunks,
    /// Header lines of 360 KB in all, without an end.
    Headers,
    /// Nothing.
    Silent,
    /// Many requests ahead; answers are not read.
    Ahead,
    /// A complete body.
    Complete,
    /// A complete body on each of many connections, of which each is closed at once.
    Abandon,
}

/// Requests that a client sends.
#[derive(Clone, Debug)]
pub struct Target {
    /// Address that it connects to.
    pub address: SocketAddr,
    /// Path of its first connection's request, without a trailing number.
    pub path: String,
    /// Whether each request has a number of its own at the end of its path.
    pub numbered: bool,
    /// Further header lines, each with its end.
    pub fields: String,
    /// Complete body, of which some shapes leave out a part.
    pub body: Rc<[u8]>,
}

/// One client.
struct Member {
    shape: Shape,
    /// Its number in the crowd.
    number: usize,
    target: Target,
}

impl Shape {
    fn rounds(self) -> usize {
        if self == Self::Abandon {
            ABANDONED
        } else {
            ROUNDS
        }
    }

    fn reads_answers(self) -> bool {
        self != Self::Ahead
    }
}

impl Member {
    /// Sends on a connection until it is closed, and again on the next one. Counts in `sent` once
    /// the first connection has taken all, or was closed.
    async fn run(self, sent: Rc<Cell<usize>>) {
        for round in 0..self.shape.rounds() {
            let mut stream = TcpStream::connect(self.target.address).await.ok();
            if let Some(stream) = &mut stream {
                // The host may close the connection at any time.
                let _ = self.send(stream, round).await;
            }
            if round == 0 {
                sent.set(sent.get() + 1);
            }
            match &mut stream {
                Some(stream) if self.shape != Shape::Abandon => self.hold(stream).await,
                _ => {}
            }
            tokio::time::sleep(ROUND_DELAY).await;
        }
    }

    async fn send(&self, stream: &mut TcpStream, round: usize) -> std::io::Result<()> {
        let body = &self.target.body;
        let last = body.len() - 1;
        match self.shape {
            Shape::Whole => {
                stream.write_all(self.head(round).as_bytes()).await?;
                stream.write_all(&body[..last]).await
            }
            Shape::Pieces => {
                stream.write_all(self.head(round).as_bytes()).await?;
                for piece in body[..last].chunks(4 << 10) {
                    stream.write_all(piece).await?;
                    tokio::task::yield_now().await;
                }
                Ok(())
            }
            Shape::Trickle => {
                stream.write_all(self.head(round).as_bytes()).await?;
                stream.write_all(&body[4 << 10..]).await
            }
            Shape::Complete | Shape::Abandon => {
                stream.write_all(self.head(round).as_bytes()).await?;
                stream.write_all(body).await
            }
            Shape::LargeChunks => {
                stream
                    .write_all(self.chunked_head(round).as_bytes())
                    .await?;
                for part in body.chunks(body.len() / 2) {
                    stream.write_all(&chunk(part)).await?;
                }
                Ok(())
            }
            Shape::CutChunk => {
                stream
                    .write_all(self.chunked_head(round).as_bytes())
                    .await?;
                let announced = chunk(body);
                // Without the line end of the chunk and its last byte.
                stream.write_all(&announced[..announced.len() - 3]).await
            }
            Shape::SmallChunks => {
                stream
                    .write_all(self.chunked_head(round).as_bytes())
                    .await?;
                let chunks: Vec<u8> = body.chunks(8).flat_map(chunk).collect();
                stream.write_all(&chunks).await
            }
            Shape::Headers => {
                stream
                    .write_all(self.start("POST", round).as_bytes())
                    .await?;
                for line in 0..90 {
                    let line = format!("X-Line-{line}: {}\r\n", "a".repeat(4_000));
                    stream.write_all(line.as_bytes()).await?;
                }
                Ok(())
            }
            Shape::Silent => Ok(()),
            Shape::Ahead => {
                let request = format!("{}\r\n", self.start("GET", 0));
                stream.write_all(request.repeat(AHEAD).as_bytes()).await
            }
        }
    }

    /// Keeps the connection open until the host closes it.
    async fn hold(&self, stream: &mut TcpStream) {
        let (mut reader, mut writer) = stream.split();
        let closed = async {
            let mut answer = [0; 1 << 10];
            if self.shape.reads_answers() {
                while matches!(reader.read(&mut answer).await, Ok(count) if count > 0) {}
            } else {
                std::future::pending::<()>().await;
            }
        };
        let trickle = async {
            loop {
                tokio::time::sleep(TRICKLE_DELAY).await;
                if self.shape == Shape::Trickle && writer.write_all(b" ").await.is_err() {
                    return;
                }
            }
        };
        tokio::select! {
            () = closed => {}
            () = trickle => {}
        }
    }

    /// Request line and header fields.
    fn start(&self, method: &str, round: usize) -> String {
        let Target {
            address,
            path,
            numbered,
            fields,
            ..
        } = &self.target;
        let number = ((round + 1) << 32) + self.number;
        let number = if *numbered {
            format!("{number:016x}")
        } else {
            String::new()
        };
        format!(
            "{method} {path}{number} HTTP/1.1\r\nHost: {}\r\n{fields}",
            address.ip()
        )
    }

    fn head(&self, round: usize) -> String {
        let length = self.target.body.len();
        format!(
            "{}Content-Length: {length}\r\n\r\n",
            self.start("POST", round)
        )
    }

    fn chunked_head(&self, round: usize) -> String {
        format!(
            "{}Transfer-Encoding: chunked\r\n\r\n",
            self.start("POST", round)
        )
    }
}

/// Connects so many clients, which stay until the test ends, and gives the process a moment under
/// them; returns how many have sent all or were closed.
pub async fn connect(target: &Target, shape: Shape, count: usize) -> usize {
    let sent = Rc::new(Cell::new(0));
    for number in 0..count {
        let member = Member {
            shape,
            number,
            target: target.clone(),
        };
        tokio::task::spawn_local(member.run(Rc::clone(&sent)));
    }
    let until = Instant::now() + SETTLE_TIME;
    while sent.get() < count && Instant::now() < until {
        tokio::time::sleep(SETTLE_INTERVAL).await;
    }
    tokio::time::sleep(WATCH_TIME).await;
    sent.get()
}

/// Text in JSON, padded with blanks to `length` bytes.
pub fn padded(text: &str, length: usize) -> Rc<[u8]> {
    let mut body = vec![b' '; length.saturating_sub(text.len())];
    body.extend_from_slice(text.as_bytes());
    body.into()
}

/// Sends a complete request in pieces on a connection of its own; returns the answer's status.
///
/// # Panics
///
/// When there is no answer.
pub async fn send_in_pieces(target: &Target, piece: usize, chunked: bool) -> u16 {
    let mut stream = TcpStream::connect(target.address)
        .await
        .expect("the host listens");
    let member = Member {
        shape: Shape::Complete,
        number: 0,
        target: target.clone(),
    };
    let head = if chunked {
        member.chunked_head(0)
    } else {
        member.head(0)
    };
    stream
        .write_all(head.as_bytes())
        .await
        .expect("an open connection");
    for part in target.body.chunks(piece) {
        let part = if chunked { chunk(part) } else { part.to_vec() };
        stream.write_all(&part).await.expect("an open connection");
    }
    if chunked {
        stream
            .write_all(b"0\r\n\r\n")
            .await
            .expect("an open connection");
    }
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).await.expect("an answer");
    let status = std::str::from_utf8(&answer[9..]).expect("a status line");
    status.parse().expect("a status")
}

fn chunk(part: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", part.len()).into_bytes();
    chunk.extend_from_slice(part);
    chunk.extend_from_slice(b"\r\n");
    chunk
}
