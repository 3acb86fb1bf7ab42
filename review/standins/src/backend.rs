//! Stand-in for a backend: it serves requests, holds keys, registers itself, and can crash.

use std::{
    io::{self, BufReader, ErrorKind},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Message},
    json::Json,
    ports,
    record::Record,
    store::Store,
};

const BEAT: Duration = Duration::from_millis(1_500);

/// Interval at which a listener looks for connections and for the end of its process.
const POLL: Duration = Duration::from_millis(2);

/// A request with this header crashes the backend that begins to run it.
pub const CRASHES: &str = "X-Crashes";

/// One address at which a backend runs, and runs again after a crash.
pub struct Backend {
    pub name: String,
    pub service: String,
    pub keyed: bool,
    pub zone: String,
    pub address: SocketAddr,
    pub work: Duration,
    /// How long the backend is away after a crash.
    pub away: Duration,
    pub store: Arc<Store>,
    pub record: Arc<Record>,
    pub stopped: AtomicBool,
    pub lives: AtomicU64,
    /// When its entry, which lapsed while the store was down, is written again.
    pub lapsed: Mutex<Option<Instant>>,
}

/// One life of a backend.
struct Life {
    id: String,
    born: u64,
    ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    slots: Slots,
    /// By key, the highest fencing token and the end of the hold.
    keys: Mutex<Vec<(u64, Option<Instant>)>>,
}

/// Requests that a backend processes at once.
const SLOTS: usize = 3;

/// Requests that may wait for a slot.
const QUEUE: usize = 12;

/// Running and waiting requests.
#[derive(Default)]
struct Slots {
    used: Mutex<(usize, usize)>,
    freed: Condvar,
}

impl Slots {
    /// Waits for a slot; returns whether there was one in time, and room to wait for it.
    fn take(&self, limit: Duration) -> bool {
        let mut used = self.used.lock().unwrap();
        if used.0 >= SLOTS {
            if used.1 >= QUEUE {
                return false;
            }
            used.1 += 1;
            used = self
                .freed
                .wait_timeout_while(used, limit, |it| it.0 >= SLOTS)
                .unwrap()
                .0;
            used.1 -= 1;
        }
        let free = used.0 < SLOTS;
        used.0 += usize::from(free);
        free
    }

    fn give_back(&self) {
        self.used.lock().unwrap().0 -= 1;
        self.freed.notify_one();
    }
}

impl Backend {
    /// Binds the first listener and starts the thread of the backend.
    pub fn start(mut self) -> io::Result<Arc<Self>> {
        let listener = ports::bind()?;
        self.address = listener.local_addr()?;
        let backend = Arc::new(self);
        let own = Arc::clone(&backend);
        thread::spawn(move || own.run(listener));
        Ok(backend)
    }

    fn run(self: Arc<Self>, first: TcpListener) {
        let mut listener = Some(first);
        while !self.stopped.load(Ordering::Relaxed) {
            let bound = listener
                .take()
                .map_or_else(|| TcpListener::bind(self.address), Ok);
            let Ok(bound) = bound else {
                thread::sleep(POLL);
                continue;
            };
            self.live(bound);
            thread::sleep(self.away);
        }
    }

    /// Lets the entry of its first life lapse; it is back after `away`.
    pub fn lapse(&self, away: Duration) {
        let mut lapsed = self.lapsed.lock().unwrap();
        *lapsed = Some(Instant::now() + away);
        self.store.set("servers", &format!("{}-0", self.name), None);
    }

    /// One life, until a crash.
    fn live(self: &Arc<Self>, listener: TcpListener) {
        let number = self.lives.fetch_add(1, Ordering::Relaxed);
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let life = Arc::new(Life {
            id: format!("{}-{number}", self.name),
            born: u64::try_from(born.as_millis()).unwrap_or_default(),
            ended: AtomicBool::new(false),
            connections: Mutex::default(),
            slots: Slots::default(),
            keys: Mutex::new(vec![(0, None); 65_536]),
        });
        let (backend, beats) = (Arc::clone(self), Arc::clone(&life));
        thread::spawn(move || backend.beat(&beats));
        listener
            .set_nonblocking(true)
            .expect("a listener can be polled");
        while !life.ended.load(Ordering::Relaxed) && !self.stopped.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream
                        .set_nonblocking(false)
                        .expect("a connection can block");
                    let kept = stream.try_clone().expect("a connection can be cloned");
                    life.connections.lock().unwrap().push(kept);
                    let (backend, life) = (Arc::clone(self), Arc::clone(&life));
                    thread::spawn(move || backend.serve(&life, stream));
                }
                Err(err) if err.kind() == ErrorKind::WouldBlock => thread::sleep(POLL),
                Err(_) => thread::sleep(POLL),
            }
        }
        drop(listener);
        for connection in life.connections.lock().unwrap().drain(..) {
            // The connection may be closed already.
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Registers the life, and removes the entry three intervals after its end.
    fn beat(&self, life: &Life) {
        let mut count = 0;
        while !life.ended.load(Ordering::Relaxed) && !self.stopped.load(Ordering::Relaxed) {
            count += 1;
            let entry = format!(
                "{{\"addr\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
                 \"zone\":\"{}\",\"slots\":3}},\"status\":{{\"state\":\"ready\",\"seq\":{count},\
                 \"warmup_s_time\":0}}}}",
                self.address, life.born, self.service, self.zone
            );
            {
                // Not while the entry has lapsed.
                let lapsed = self.lapsed.lock().unwrap();
                if lapsed.is_none_or(|it| Instant::now() >= it) {
                    self.store.set("servers", &life.id, Some(&entry));
                }
            }
            let written = Instant::now();
            let mut due = written + BEAT;
            while Instant::now() < due && !life.ended.load(Ordering::Relaxed) {
                thread::sleep(POLL);
                if let Some(until) = *self.lapsed.lock().unwrap()
                    && until > written
                {
                    due = until;
                }
            }
        }
        thread::sleep(BEAT * 2);
        self.store.set("servers", &life.id, None);
    }

    fn serve(&self, life: &Life, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        loop {
            let request = http::read(&mut reader).ok()?;
            self.answer(life, &request, &mut stream)?;
        }
    }

    /// Answers a request; `None` if the connection ends.
    fn answer(&self, life: &Life, request: &Message, stream: &mut TcpStream) -> Option<()> {
        let own_id = ("X-Backend-Id", life.id.as_str());
        if request
            .header("x-expect-instance")
            .is_some_and(|it| it != life.id)
        {
            let headers = [own_id, ("X-Not-Executed", "1")];
            return http::answer(stream, 421, &headers, b"").ok();
        }
        match request.path.as_str() {
            "/healthz" => return http::answer(stream, 200, &[own_id], b"").ok(),
            "/sassafrasstack/grant" => return self.grant(life, request, stream),
            "/sassafrasstack/release" => return self.release(life, request, stream),
            _ => {}
        }
        let Some(id) = request.header("x-attempt-id") else {
            return http::answer(stream, 400, &[("X-Not-Executed", "1")], b"").ok();
        };
        let key: usize = request
            .header("x-shard-key")
            .and_then(|it| it.parse().ok())
            .unwrap_or(0);
        let holds = {
            let keys = life.keys.lock().unwrap();
            keys[key].1.is_some_and(|until| Instant::now() < until)
        };
        let echo = ("X-Attempt-Id", id);
        if self.keyed && !holds {
            let headers = [own_id, echo, ("X-Not-Executed", "1")];
            return http::answer(stream, 421, &headers, b"").ok();
        }
        let left = request
            .header("x-deadline-ms")
            .and_then(|it| it.parse().ok())
            .unwrap_or(1_000);
        if !life.slots.take(Duration::from_millis(left)) {
            let headers = [own_id, echo, ("X-Not-Executed", "1")];
            return http::answer(stream, 503, &headers, b"").ok();
        }
        let (length, path) = (request.body.len(), &request.path);
        self.record.line(&format!(
            "run {id} {} {path} at {} ({}), body of {length} bytes",
            request.method, life.id, self.service
        ));
        if request.header(CRASHES).is_some() {
            self.record
                .crash(&format!("crash {id} of {} ({})", life.id, self.service));
            life.ended.store(true, Ordering::Relaxed);
            return None;
        }
        thread::sleep(self.work);
        life.slots.give_back();
        let seal = ("X-Upstream-Seal", "3e1b.07");
        http::answer(stream, 200, &[own_id, echo, seal], b"the server's bytes").ok()
    }

    fn grant(&self, life: &Life, request: &Message, stream: &mut TcpStream) -> Option<()> {
        let order = Json::parse(&request.body)?;
        let (range, fence) = range_of(&order);
        let hold = Duration::from_secs_f64(order.get("hold_s").number());
        let status = {
            let mut keys = life.keys.lock().unwrap();
            if keys[range.clone()].iter().any(|it| it.0 > fence) {
                409
            } else {
                keys[range].fill((fence, Some(Instant::now() + hold)));
                200
            }
        };
        http::answer(stream, status, &[], b"").ok()
    }

    fn release(&self, life: &Life, request: &Message, stream: &mut TcpStream) -> Option<()> {
        let order = Json::parse(&request.body)?;
        let (range, fence) = range_of(&order);
        for key in &mut life.keys.lock().unwrap()[range] {
            *key = (key.0.max(fence), None);
        }
        // Requests that run take as long as this at most.
        thread::sleep(self.work);
        http::answer(stream, 200, &[("X-Handover", "5c0e7a21d94b36f8")], b"").ok()
    }
}

fn range_of(order: &Json) -> (std::ops::RangeInclusive<usize>, u64) {
    let number = |name| order.get(name).number();
    (
        number("from") as usize..=number("to") as usize,
        number("fence") as u64,
    )
}
