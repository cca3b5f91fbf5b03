//! HTTP/1.1 server and client, one thread a connection.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::json::{self, Json};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    /// `X-Expected-Instance`.
    pub instance: Option<String>,
    pub body: Json,
}

impl Request {
    pub fn query(&self, name: &str) -> &str {
        let row = self.query.iter().find(|row| row.0 == name);
        row.map_or("", |row| row.1.as_str())
    }
}

/// Status and body; none closes the connection without an answer.
pub type Answer = Option<(u16, String)>;

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = bytes
            .get(at + 1..at + 3)
            .and_then(|hex| std::str::from_utf8(hex).ok());
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) if bytes[at] == b'%' => {
                out.push(byte);
                at += 3;
            }
            _ => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads head and body; head lines and body bytes.
fn read_message(reader: &mut BufReader<TcpStream>) -> Option<(Vec<String>, Vec<u8>)> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let length = header(&lines, "content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some((lines, body))
}

fn header(lines: &[String], name: &str) -> Option<String> {
    let row = lines.iter().skip(1).filter_map(|line| line.split_once(':'));
    let mut row = row.filter(|(key, _)| key.eq_ignore_ascii_case(name));
    row.next().map(|(_, value)| value.trim().to_owned())
}

/// Connections that a server has accepted.
pub type Connections = Arc<Mutex<Vec<TcpStream>>>;

/// Closes connections, as the end of their process does.
pub fn close(connections: &Connections) {
    for stream in connections.lock().expect("lock").drain(..) {
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }
}

/// Serves on a listener until the process ends.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(Request) -> Answer + Send + Sync + 'static,
) -> Connections {
    let handler = Arc::new(handler);
    let connections = Connections::default();
    let accepted = Arc::clone(&connections);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            if let Ok(held) = stream.try_clone() {
                accepted.lock().expect("lock").push(held);
            }
            std::thread::spawn(move || connection(stream, &*handler));
        }
    });
    connections
}

fn connection(stream: TcpStream, handler: &dyn Fn(Request) -> Answer) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (lines, body) = read_message(&mut reader)?;
        let mut words = lines.first()?.split(' ');
        let (method, target) = (words.next()?.to_owned(), words.next()?);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let request = Request {
            method,
            path: path.to_owned(),
            query: pairs
                .map(|(key, value)| (key.to_owned(), decode(value)))
                .collect(),
            instance: header(&lines, "x-expected-instance"),
            body: json::parse(&body),
        };
        let (status, text) = handler(request)?;
        let head = format!(
            "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            text.len()
        );
        writer
            .write_all(&[head.as_bytes(), text.as_bytes()].concat())
            .ok()?;
    }
}

/// Sends one request on a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         X-Deadline-Milliseconds: {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        timeout.as_millis(),
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    let (lines, body) = read_message(&mut BufReader::new(stream))?;
    let status = lines.first()?.split(' ').nth(1)?.parse().ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
