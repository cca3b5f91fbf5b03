//! JSON and base64, as far as the stand-ins need them.

use std::fmt::Write;

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        const NULL: &Json = &Json::Null;
        match self {
            Json::Map(rows) => rows
                .iter()
                .find(|row| row.0 == name)
                .map_or(NULL, |row| &row.1),
            _ => NULL,
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Json::Number(value) => Some(*value as u64),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> &str {
        match self.get(name) {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Json::List(rows) => rows,
            _ => &[],
        }
    }
}

/// Parses a document; what cannot be parsed is `Null`.
pub fn parse(bytes: &[u8]) -> Json {
    Parser { bytes, at: 0 }.value().unwrap_or(Json::Null)
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        (self.peek()? == byte).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => {
                self.at += 1;
                let mut rows = Vec::new();
                while self.peek()? != b'}' {
                    let name = self.string()?;
                    self.take(b':')?;
                    rows.push((name, self.value()?));
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Json::Map(rows))
            }
            b'[' => {
                self.at += 1;
                let mut rows = Vec::new();
                while self.peek()? != b']' {
                    rows.push(self.value()?);
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Json::List(rows))
            }
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool),
            b'f' => self.word("false", Json::Bool),
            b'n' => self.word("null", Json::Null),
            _ => {
                let rest = &self.bytes[self.at..];
                let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
                let length = rest.iter().take_while(|byte| is_part(byte)).count();
                let text = std::str::from_utf8(&rest[..length]).ok()?;
                self.at += length;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code = u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16);
                            let mut buffer = [0; 4];
                            let letter = char::from_u32(code.ok()?)?;
                            out.extend(letter.encode_utf8(&mut buffer).bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }
}

/// Text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' | '\\' => {
                out.push('\\');
                out.push(letter);
            }
            other if (other as u32) < 32 => {
                let _ = write!(out, "\\u{:04x}", other as u32);
            }
            other => out.push(other),
        }
    }
    out.push('"');
    out
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let mut word = 0_u32;
        for at in 0..3 {
            word = word << 8 | u32::from(*part.get(at).unwrap_or(&0));
        }
        for at in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * at)) as usize & 63];
            out.push(if at > part.len() {
                '='
            } else {
                char::from(digit)
            });
        }
    }
    out
}
