//! A minimal HTTP/1.1 reader and writer for the stand-ins.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Method of a request.
    pub method: String,
    /// Path and query of a request.
    pub path: String,
    /// Status of an answer.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self
            .headers
            .iter()
            .filter(|it| it.0.eq_ignore_ascii_case(name));
        found.next().map(|it| it.1.as_str())
    }

    /// The value of a query parameter, percent-decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.path.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
        pairs.find(|it| it.0 == name).map(|it| decode(it.1))
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes
            .get(at + 1..at + 3)
            .and_then(|it| std::str::from_utf8(it).ok());
        match hex.and_then(|it| u8::from_str_radix(it, 16).ok()) {
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

/// Reads one message; fails at the end of the connection.
pub fn read(stream: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let mut message = Message::default();
    let first = read_line(stream)?;
    let mut words = first.split(' ');
    let word = words.next().unwrap_or_default();
    if word.starts_with("HTTP/") {
        let status = words.next().and_then(|it| it.parse().ok());
        message.status = status.ok_or(io::ErrorKind::InvalidData)?;
    } else {
        word.clone_into(&mut message.method);
        words
            .next()
            .unwrap_or_default()
            .clone_into(&mut message.path);
    }
    loop {
        let line = read_line(stream)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
        message
            .headers
            .push((name.to_owned(), value.trim().to_owned()));
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            let size = usize::from_str_radix(read_line(stream)?.trim(), 16);
            let size = size.map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size];
            stream.read_exact(&mut chunk)?;
            message.body.extend(chunk);
            read_line(stream)?;
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        message.body = vec![0; length];
        stream.read_exact(&mut message.body)?;
    }
    Ok(message)
}

fn read_line(stream: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    line.truncate(line.trim_end().len());
    Ok(line)
}

/// Writes an answer with a length.
pub fn answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)
}

/// Sends a request on a new connection and reads the answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let until = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    head += "\r\n";
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let left = until.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    read(&mut BufReader::new(stream))
}
