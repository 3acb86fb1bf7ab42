//! Stand-in for the platform's metadata store.

use std::{
    collections::BTreeMap,
    io::{self, BufReader},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    json::Json,
    ports,
};

/// A row's value in base64 (`None` if it was deleted) and its version.
type Row = (Option<String>, u64);

#[derive(Default)]
struct State {
    ver: u64,
    /// Rows by table and key; the part is always empty.
    rows: BTreeMap<(String, String), Row>,
}

pub struct Store {
    pub address: SocketAddr,
    started: Instant,
    state: Mutex<State>,
    changed: Condvar,
    down: AtomicBool,
}

impl Store {
    pub fn start() -> io::Result<Arc<Self>> {
        let listener = ports::bind()?;
        let store = Arc::new(Self {
            address: listener.local_addr()?,
            started: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
            down: AtomicBool::new(false),
        });
        let server = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes or deletes a row on behalf of the operator or a backend.
    pub fn set(&self, table: &str, key: &str, value: Option<&str>) {
        let mut state = self.state.lock().unwrap();
        state.ver += 1;
        let row = (value.map(|it| encode(it.as_bytes())), state.ver);
        state.rows.insert((table.to_owned(), key.to_owned()), row);
        self.changed.notify_all();
    }

    /// While the store is down, it closes each connection on which a call arrives.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Relaxed);
    }

    /// The decoded value of a row.
    pub fn get(&self, table: &str, key: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let row = state.rows.get(&(table.to_owned(), key.to_owned()))?;
        decode(row.0.as_ref()?)
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        loop {
            let request = http::read(&mut reader).ok()?;
            if self.down.load(Ordering::Relaxed) {
                return None;
            }
            let (status, body) = self.answer(&request);
            if self.down.load(Ordering::Relaxed) {
                return None;
            }
            let kind = ("Content-Type", "application/json");
            http::answer(&mut stream, status, &[kind], body.as_bytes()).ok()?;
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let path = request.path.split('?').next().unwrap_or_default();
        match path {
            "/sassafrasstack/rows-get" => (200, self.rows_get(request)),
            "/sassafrasstack/rows-feed" => (200, self.rows_feed(request)),
            "/sassafrasstack/rows-tx" => {
                // Two milliseconds away, and a transaction takes `txn_s`.
                thread::sleep(Duration::from_millis(8));
                self.rows_tx(request)
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn tail(&self, ver: u64) -> String {
        format!(
            "\"ver\":{ver},\"now_s\":{:.3}}}",
            self.started.elapsed().as_secs_f64() + 100.0
        )
    }

    fn rows_get(&self, request: &Message) -> String {
        let table = request.query("table").unwrap_or_default();
        let from = request.query("from").unwrap_or_default();
        let to = request.query("to");
        let limit = request
            .query("limit")
            .and_then(|it| it.parse().ok())
            .unwrap_or(500);
        let state = self.state.lock().unwrap();
        let found = state.rows.iter().filter(|((row_table, key), (value, _))| {
            *row_table == table
                && *key >= from
                && to.as_ref().is_none_or(|it| key < it)
                && value.is_some()
        });
        let all: Vec<String> = found.map(|(name, row)| encode_row(name, row)).collect();
        let more = all.len() > limit;
        let rows = all[..all.len().min(limit)].join(",");
        format!(
            "{{\"rows\":[{rows}],\"has_more\":{more},{}",
            self.tail(state.ver)
        )
    }

    fn rows_feed(&self, request: &Message) -> String {
        let table = request.query("table").unwrap_or_default();
        let number = |name| {
            request
                .query(name)
                .and_then(|it| it.parse().ok())
                .unwrap_or(0)
        };
        let (after, wait) = (number("after"), number("wait_ms"));
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        loop {
            let mut found: Vec<_> = state.rows.iter().collect();
            found.retain(|(name, row)| name.0 == table && row.1 > after);
            found.sort_by_key(|(_, row)| row.1);
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let rows: Vec<String> = found.iter().map(|it| encode_row(it.0, it.1)).collect();
                return format!("{{\"rows\":[{}],{}", rows.join(","), self.tail(state.ver));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn rows_tx(&self, request: &Message) -> (u16, String) {
        let Some(body) = Json::parse(&request.body) else {
            return (400, "{}".to_owned());
        };
        let name = |it: &Json| {
            (
                it.get("table").text().to_owned(),
                it.get("key").text().to_owned(),
            )
        };
        let mut state = self.state.lock().unwrap();
        let expected = body.get("expect_rev").list();
        let holds = expected.iter().all(|it| {
            let row = state.rows.get(&name(it)).filter(|it| it.0.is_some());
            row.map_or(0, |it| it.1) == it.get("ver").number() as u64
        });
        if !holds {
            let found = expected
                .iter()
                .filter_map(|it| state.rows.get_key_value(&name(it)));
            let rows: Vec<String> = found.map(|it| encode_row(it.0, it.1)).collect();
            return (
                412,
                format!("{{\"rows\":[{}],{}", rows.join(","), self.tail(state.ver)),
            );
        }
        state.ver += 1;
        let ver = state.ver;
        for it in body.get("puts").list() {
            let value = it.get("value").text().to_owned();
            state.rows.insert(name(it), (Some(value), ver));
        }
        for it in body.get("remove").list() {
            state.rows.insert(name(it), (None, ver));
        }
        self.changed.notify_all();
        (200, format!("{{{}", self.tail(ver)))
    }
}

fn encode_row(name: &(String, String), row: &Row) -> String {
    let (table, key) = name;
    let rest = match &row.0 {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"tombstone\":true".to_owned(),
    };
    format!(
        "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{rest},\"ver\":{}}}",
        row.1
    )
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for idx in 0..4 {
            if idx > chunk.len() {
                out.push('=');
            } else {
                out.push(char::from(ALPHABET[(bits >> (18 - 6 * idx)) as usize & 63]));
            }
        }
    }
    out
}

fn decode(text: &str) -> Option<String> {
    let mut out = Vec::new();
    let mut bits = 0_u32;
    let mut count = 0;
    for byte in text.bytes().filter(|it| *it != b'=') {
        let digit = ALPHABET.iter().position(|it| *it == byte)?;
        bits = bits << 6 | u32::try_from(digit).ok()?;
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count & 255) as u8);
        }
    }
    String::from_utf8(out).ok()
}
