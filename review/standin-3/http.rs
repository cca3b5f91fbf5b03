//! HTTP/1.1 on blocking sockets: a server with a thread for each channel, and single calls.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::json::{self, Json};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    /// Value of `X-Expected-Instance`.
    pub instance: Option<String>,
    pub body: Json,
}

impl Request {
    pub fn query(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }
}

pub enum Reply {
    Answer(u16, Json),
    /// The channel stays open and returns nothing further.
    Never,
    /// The channel ends.
    Close,
}

type Handler = Arc<dyn Fn(Request) -> Reply + Send + Sync>;

/// Serves on a free port of 127.0.0.1.
pub fn serve(handler: impl Fn(Request) -> Reply + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound listener");
    let handler: Handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            let _ = std::thread::Builder::new()
                .stack_size(256 << 10)
                .spawn(move || channel(stream, &handler));
        }
    });
    address
}

fn channel(stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(read) = stream.try_clone() else { return };
    let (mut reader, mut writer) = (BufReader::new(read), stream);
    while let Some(request) = receive(&mut reader) {
        match handler(request) {
            Reply::Answer(status, body) => {
                let body = body.print();
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                let whole = [head.as_bytes(), body.as_bytes()].concat();
                if writer.write_all(&whole).is_err() {
                    return;
                }
            }
            Reply::Never => {
                let mut rest = [0; 4096];
                while matches!(reader.read(&mut rest), Ok(count) if count > 0) {}
                return;
            }
            Reply::Close => return,
        }
    }
}

fn receive(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (mut length, mut instance) = (0, None);
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok()?;
        let Some((name, value)) = header.trim().split_once(':') else {
            break;
        };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.trim().parse().ok()?,
            "x-expected-instance" => instance = Some(value.trim().to_owned()),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(Request {
        method,
        path: path.to_owned(),
        query: pairs.map(|(k, v)| (k.to_owned(), unescape(v))).collect(),
        instance,
        body: json::parse(&body).unwrap_or(Json::Null),
    })
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = bytes.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let code = code.and_then(|hex| u8::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok());
        match code {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Status and body of an answer, or how it failed.
pub type Answer = Result<(u16, String), String>;

/// Makes a call on a new channel.
pub fn call(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Answer {
    let began = Instant::now();
    let left = || {
        let left = limit.saturating_sub(began.elapsed());
        (!left.is_zero()).then_some(left).ok_or("no answer in time")
    };
    let fail = |error: std::io::Error| match error.kind() {
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => {
            "no answer in time".to_owned()
        }
        _ => error.to_string(),
    };
    let mut stream = TcpStream::connect_timeout(&address, limit).map_err(fail)?;
    stream.set_nodelay(true).map_err(fail)?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Deadline-Milliseconds: {}\r\nContent-Type: \
         application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        limit.as_millis(),
        body.len()
    );
    stream.set_write_timeout(Some(left()?)).map_err(fail)?;
    stream.write_all(request.as_bytes()).map_err(fail)?;
    let mut received = Vec::new();
    let mut buffer = [0; 16 << 10];
    loop {
        stream.set_read_timeout(Some(left()?)).map_err(fail)?;
        let count = stream.read(&mut buffer).map_err(fail)?;
        received.extend_from_slice(&buffer[..count]);
        if let Some(answer) = whole(&received) {
            return Ok(answer);
        }
        if count == 0 {
            return Err("the channel ended without a whole answer".to_owned());
        }
    }
}

fn whole(received: &[u8]) -> Option<(u16, String)> {
    let end = received.windows(4).position(|part| part == b"\r\n\r\n")?;
    let head = std::str::from_utf8(&received[..end]).ok()?;
    let status = head.split_whitespace().nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        let is_length = name.eq_ignore_ascii_case("content-length");
        is_length.then(|| value.trim().parse::<usize>().ok())?
    });
    let body = received.get(end + 4..end + 4 + length.unwrap_or(0))?;
    Some((status, String::from_utf8_lossy(body).into_owned()))
}
