//! HTTP/1.1 over threads: the servers of the stand-ins, and the clients' calls.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    /// Header `X-Expected-Instance`.
    pub instance: Option<String>,
    pub body: Vec<u8>,
}

impl Request {
    /// Value of a key of the query.
    pub fn query(&self, key: &str) -> String {
        let pairs = self.query.split('&');
        let found = pairs.filter_map(|pair| pair.split_once('='));
        let value = found
            .filter(|(name, _)| *name == key)
            .map(|(_, v)| v)
            .next();
        decode(value.unwrap_or_default())
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            out.push(u8::from_str_radix(&text[at + 1..at + 3], 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// An answer; none closes nothing and sends nothing, as when it is lost.
pub type Answer = Option<(u16, String)>;

/// A server that can be taken down as by a crash: its port refuses, its channels are reset.
pub struct Server {
    pub address: SocketAddr,
    down: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(
        address: SocketAddr,
        handler: impl Fn(Request) -> Answer + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let down = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let handler = Arc::new(handler);
        let (is_down, open) = (Arc::clone(&down), Arc::clone(&streams));
        std::thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                if is_down.load(Ordering::Relaxed) {
                    listener = None;
                    for stream in open.lock().unwrap().drain(..) {
                        let _ = stream.shutdown(std::net::Shutdown::Both);
                    }
                    std::thread::sleep(Duration::from_millis(2));
                    continue;
                }
                if listener.is_none() {
                    listener = TcpListener::bind(address).ok();
                }
                let Some(bound) = &listener else {
                    std::thread::sleep(Duration::from_millis(5));
                    continue;
                };
                let _ = bound.set_nonblocking(true);
                match bound.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            open.lock().unwrap().push(copy);
                        }
                        let handler = Arc::clone(&handler);
                        std::thread::spawn(move || serve(stream, &*handler));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(Self {
            address,
            down,
            streams,
        })
    }

    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Relaxed);
        if down {
            for stream in self.streams.lock().unwrap().drain(..) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
        }
    }
}

fn serve(stream: TcpStream, handler: &dyn Fn(Request) -> Answer) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        // An answer that is lost leaves the channel open: it returns nothing further.
        let Some((status, body)) = handler(request) else {
            std::thread::sleep(Duration::from_secs(20));
            return;
        };
        let head = format!(
            "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let sent = writer.write_all(&[head.as_bytes(), body.as_bytes()].concat());
        if sent.is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    let (mut length, mut instance) = (0, None);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.trim().parse().ok()?,
            "x-expected-instance" => instance = Some(value.trim().to_owned()),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request {
        method,
        path,
        query,
        instance,
        body,
    })
}

/// A client's call on a channel of its own. No answer in time, or a broken channel, is an error.
pub fn call(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    patience: Duration,
) -> Result<(u16, Vec<u8>), String> {
    let text = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect_timeout(&address, patience).map_err(text)?;
    stream.set_nodelay(true).map_err(text)?;
    stream.set_read_timeout(Some(patience)).map_err(text)?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         X-Deadline-Milliseconds: {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        patience.as_millis(),
        body.len()
    );
    stream
        .write_all(&[head.as_bytes(), body.as_bytes()].concat())
        .map_err(text)?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).map_err(text)?;
    let end = answer.windows(4).position(|part| part == b"\r\n\r\n");
    let end = end.ok_or("the channel ended without an answer")?;
    let head = String::from_utf8_lossy(&answer[..end]).into_owned();
    let status = head
        .split_whitespace()
        .nth(1)
        .and_then(|word| word.parse().ok());
    let status = status.ok_or("no status")?;
    Ok((status, answer[end + 4..].to_vec()))
}
