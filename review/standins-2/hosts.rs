//! Stand-ins for database hosts, the platform, the operator and clients, all in one process on loopback
//! addresses. They follow PROTOCOL.md; what a page leaves open is done as a sound server would do it.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// One commit that writes: its term, its number and the ids of the statements in it.
#[derive(Clone, PartialEq)]
pub struct Commit {
    pub term: u64,
    pub number: u64,
    pub ids: Vec<String>,
}

pub struct HostState {
    pub id: String,
    pub address: SocketAddrV4,
    pub zone: String,
    pub alive: bool,
    pub primary: bool,
    pub term: u64,
    pub log: Vec<Commit>,
    pub paused: bool,
    pub deaf: bool,
    /// Sends beats; false once it has left.
    pub beats: bool,
    pub phase: &'static str,
    pub role_changed: bool,
    pub connections: Vec<TcpStream>,
}

impl HostState {
    fn position(&self) -> (u64, u64) {
        self.log.last().map_or((0, 0), |commit| (commit.term, commit.number))
    }

    fn position_text(&self) -> String {
        match self.position() {
            (0, 0) => "-".into(),
            (term, number) => format!("{term}.{number}"),
        }
    }
}

#[derive(Default)]
pub struct World {
    pub service: String,
    pub hosts: Vec<HostState>,
    /// Ids of writes whose success reached a client.
    pub acked: BTreeSet<String>,
    pub term: u64,
    /// What broke the rule, if anything.
    pub lost: Vec<String>,
    pub promotions: Vec<String>,
    pub fence: u64,
    pub stamp: u64,
}

pub type Shared = Arc<Mutex<World>>;

pub struct Record {
    start: Instant,
    file: Mutex<std::fs::File>,
}

impl Record {
    pub fn new(path: &str) -> Arc<Self> {
        let file = std::fs::File::create(path).expect("creates the record");
        Arc::new(Record { start: Instant::now(), file: Mutex::new(file) })
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.4} {text}");
    }

}

/// Replicas that follow the primary receive what they lack, within some milliseconds.
pub fn replicate(world: Shared) {
    thread::spawn(move || {
        loop {
            thread::sleep(Duration::from_millis(2));
            let mut world = world.lock().unwrap();
            let Some((log, term)) =
                world.hosts.iter().find(|host| host.primary && host.alive).map(|host| (host.log.clone(), host.term))
            else {
                continue;
            };
            for host in world.hosts.iter_mut().filter(|host| host.alive && !host.primary) {
                if !host.paused && !host.deaf && host.log != log {
                    host.log = log.clone();
                }
                if !host.paused && !host.deaf {
                    host.term = host.term.max(term);
                }
            }
        }
    });
}

/// Starts the listener of a host. While the host is down, connections are refused.
pub fn serve_host(world: Shared, index: usize, record: Arc<Record>) {
    let address = world.lock().unwrap().hosts[index].address;
    thread::spawn(move || {
        loop {
            if !world.lock().unwrap().hosts[index].alive {
                thread::sleep(Duration::from_millis(5));
                continue;
            }
            let Ok(listener) = TcpListener::bind(address) else {
                thread::sleep(Duration::from_millis(20));
                continue;
            };
            listener.set_nonblocking(true).expect("sets the mode");
            while world.lock().unwrap().hosts[index].alive {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            world.lock().unwrap().hosts[index].connections.push(copy);
                        }
                        let (world, record) = (world.clone(), record.clone());
                        thread::spawn(move || drop(serve_connection(world, index, stream, record)));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        }
    });
}

/// The host stops at once: its connections break, and new ones are refused.
pub fn crash(world: &Shared, index: usize) {
    let mut world = world.lock().unwrap();
    let host = &mut world.hosts[index];
    host.alive = false;
    host.connections.drain(..).for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
}

/// The host comes back with its log, as a replica if another was promoted.
pub fn restart(world: &Shared, index: usize) {
    let mut world = world.lock().unwrap();
    let term = world.term;
    let host = &mut world.hosts[index];
    host.alive = true;
    host.paused = false;
    if host.primary && host.term < term {
        host.primary = false;
        host.role_changed = true;
    }
}

fn serve_connection(world: Shared, index: usize, stream: TcpStream, record: Arc<Record>) -> std::io::Result<()> {
    let mut output = stream.try_clone()?;
    let mut lines = BufReader::new(stream);
    let mut line = String::new();
    let (mut state, mut read_only, mut writes): (char, bool, Vec<String>) = ('I', false, Vec::new());
    // The term in which the transaction began: it fails once the host has lost the lead.
    let mut began_as_primary = false;
    lines.read_line(&mut line)?;
    {
        let world = world.lock().unwrap();
        let host = &world.hosts[index];
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_right = fields.first() == Some(&"OPEN")
            && fields.get(1) == Some(&world.service.as_str())
            && fields.get(3).is_none_or(|id| *id == host.id);
        if !is_right {
            output.write_all(b"FAULT MISROUTED another host\r\n")?;
            return Ok(());
        }
        output.write_all(format!("IDLE I {}\r\n", host.position_text()).as_bytes())?;
    }
    loop {
        line.clear();
        if lines.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let text = line.trim_end_matches(['\r', '\n']);
        if text == "CLOSE" {
            return Ok(());
        }
        let mut parts = text.splitn(3, ' ');
        let (word, id, mut statement) =
            (parts.next().unwrap_or(""), parts.next().unwrap_or("").to_string(), parts.next().unwrap_or("").to_string());
        if word != "QUERY" {
            output.write_all(b"FAULT MALFORMED no query\r\n")?;
            return Ok(());
        }
        let mut rows = String::new();
        let mut fault: Option<String> = None;
        let mut stamp = "-".to_string();
        let mut waits_for: Option<(u64, u64)> = None;
        {
            let mut world = world.lock().unwrap();
            if !world.hosts[index].alive {
                return Ok(());
            }
            world.stamp += 1;
            let next_stamp = format!("s{index}.{}", world.stamp);
            let host = &mut world.hosts[index];
            if let Some(rest) = statement.strip_prefix("AFTER ") {
                let (wanted, rest) = rest.split_once(' ').unwrap_or((rest, ""));
                let wanted = wanted.split_once('.').map(|(t, n)| (t.parse().unwrap_or(0), n.parse().unwrap_or(0)));
                if wanted.is_some_and(|wanted: (u64, u64)| host.position() < wanted) {
                    fault = Some(format!("LAGGING {}", host.id));
                }
                statement = rest.to_string();
            }
            let lost_lead = state == 'T' && !read_only && began_as_primary && !host.primary;
            let word = statement.split(' ').next().unwrap_or("").to_string();
            if fault.is_some() {
            } else if state == 'E' && !matches!(word.as_str(), "ABORT" | "COMMIT" | "OBSERVE") {
                fault = Some("MALFORMED the transaction has failed".into());
            } else {
                match word.as_str() {
                    "BEGIN" => {
                        read_only = statement == "BEGIN READ";
                        if !read_only && !host.primary {
                            fault = Some(format!("READONLY {}", host.id));
                        } else {
                            (state, began_as_primary) = ('T', host.primary);
                            writes.clear();
                        }
                    }
                    "ABORT" => {
                        state = 'I';
                        writes.clear();
                    }
                    "COMMIT" if state == 'E' => {
                        state = 'I';
                        fault = Some("REVERTED it had failed".into());
                    }
                    "READ" if lost_lead => fault = Some(format!("READONLY {}", host.id)),
                    "READ" => {
                        rows = format!("ROW {}\r\n", host.position_text());
                        stamp = next_stamp;
                    }
                    "WRITE" | "COMMIT" if word == "COMMIT" && writes.is_empty() => {
                        state = 'I';
                        stamp = next_stamp;
                    }
                    "WRITE" | "COMMIT" => {
                        if !host.primary || lost_lead || read_only && state == 'T' {
                            fault = Some(format!("READONLY {}", host.id));
                        } else if word == "WRITE" && state == 'T' {
                            writes.push(id.clone());
                            stamp = next_stamp;
                        } else {
                            let ids = if word == "WRITE" { vec![id.clone()] } else { std::mem::take(&mut writes) };
                            let number = host.log.last().map_or(0, |commit| commit.number) + 1;
                            host.log.push(Commit { term: host.term, number, ids });
                            waits_for = Some((host.term, number));
                            (state, stamp) = ('I', next_stamp);
                        }
                    }
                    "OBSERVE" | "PAUSE" | "CONTINUE" | "YIELD" => {
                        let term: u64 = statement.split(' ').nth(1).and_then(|term| term.parse().ok()).unwrap_or(0);
                        match word.as_str() {
                            "PAUSE" if !host.primary && term > host.term => host.paused = true,
                            "CONTINUE" => host.paused = false,
                            "YIELD" if host.primary && host.term < term => {
                                (host.primary, host.role_changed) = (false, true);
                            }
                            _ => {}
                        }
                        let role = if host.primary { "primary" } else { "replica" };
                        rows = format!(
                            "ROW {role} {} {} {} 0 0 1\r\n",
                            host.term,
                            host.position_text(),
                            host.term
                        );
                        if word != "OBSERVE" {
                            record.line(&format!("host {} runs {statement}", host.id));
                        }
                    }
                    "ASSIGN" | "DEFINE" | "UNDEFINE" | "CLEAR" => {}
                    _ => fault = Some("MALFORMED unknown".into()),
                }
            }
            if fault.is_some() && state == 'T' {
                state = 'E';
            }
        }
        // Under `sync-replicas` 1 the answer comes once one replica has received the commit.
        if let Some(commit) = waits_for {
            loop {
                {
                    let world = world.lock().unwrap();
                    let own = &world.hosts[index];
                    if !own.alive {
                        return Ok(());
                    }
                    let is_received = world.hosts.iter().enumerate().any(|(other, host)| {
                        other != index
                            && host.alive
                            && host.log.iter().any(|known| (known.term, known.number) == commit)
                    });
                    if is_received {
                        break;
                    }
                    if !own.primary {
                        fault = Some("UNKNOWN the lead was lost".into());
                        break;
                    }
                }
                thread::sleep(Duration::from_millis(1));
            }
        }
        let position = world.lock().unwrap().hosts[index].position_text();
        let reply = match fault {
            Some(fault) => format!("FAULT {fault}\r\nIDLE {state} {position}\r\n"),
            None => format!("{rows}SETTLED {stamp}\r\nIDLE {state} {position}\r\n"),
        };
        output.write_all(reply.as_bytes())?;
    }
}

/// One HTTP call; returns the status, the body and the `Location`.
pub fn call(to: SocketAddr, request: &str, wait: Duration) -> Option<(u16, String, Option<String>)> {
    let mut stream = TcpStream::connect_timeout(&to, wait).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut lines = BufReader::new(stream);
    let mut line = String::new();
    lines.read_line(&mut line).ok()?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let (mut length, mut location) = (0, None);
    loop {
        line.clear();
        lines.read_line(&mut line).ok()?;
        let field = line.trim_end();
        if field.is_empty() {
            break;
        }
        if let Some((name, value)) = field.split_once(':') {
            match name.to_ascii_lowercase().as_str() {
                "content-length" => length = value.trim().parse().ok()?,
                "location" => location = Some(value.trim().to_string()),
                _ => {}
            }
        }
    }
    let mut body = vec![0; length];
    lines.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned(), location))
}

pub fn post(path: &str, headers: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n{headers}Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends one call to the control machines in turn until one acknowledges it.
pub fn call_any(controls: &[SocketAddr], first: usize, request: &str, tries: usize) -> Option<(u16, String)> {
    for turn in 0..tries {
        let to = controls[(first + turn) % controls.len()];
        match call(to, request, Duration::from_secs(1)) {
            Some((status, body, _)) if status < 500 && status != 408 && status != 429 => return Some((status, body)),
            _ => thread::sleep(Duration::from_millis(50 * (turn as u64 + 1).min(6))),
        }
    }
    None
}

/// The beats of a host: about every 1.2 s, and at once after a change of its role.
pub fn beat(world: Shared, index: usize, controls: Vec<SocketAddr>, stop: Arc<AtomicBool>) {
    thread::spawn(move || {
        let (mut sequence, mut target): (u64, Option<SocketAddr>) = (0, None);
        let mut next = Instant::now();
        while !stop.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(10));
            let (path, body) = {
                let mut world = world.lock().unwrap();
                let service = world.service.clone();
                let host = &mut world.hosts[index];
                if !host.alive || !host.beats || !host.role_changed && Instant::now() < next {
                    continue;
                }
                host.role_changed = false;
                sequence += 1;
                let role = if host.primary { "primary" } else { "replica" };
                let body = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{}\",\"revision\":\"v1\",\"capacity\":5,\"phase\":\"{}\",\"cold-left-ms\":0,\"db-role\":\"{role}\",\"call-seq\":{sequence}}}",
                    host.address, host.zone, host.phase
                );
                (format!("/Instances.Beat/{}", host.id), body)
            };
            next = Instant::now() + Duration::from_millis(1200);
            let request = post(&path, "", &body);
            let answer = target.and_then(|to| call(to, &request, Duration::from_secs(1)));
            let answer = match answer {
                Some((status, body, _)) if (200..300).contains(&status) => Some((status, body)),
                _ => {
                    target = None;
                    call_any(&controls, index, &request, 6)
                }
            };
            if let Some((_, body)) = answer
                && let Some(address) = body.split("\"beat-target\":\"").nth(1).and_then(|rest| rest.split('"').next())
            {
                target = address.parse().ok();
            }
        }
    });
}

/// The platform: `POST /promotion` names the host that takes over, about a second later.
pub fn platform(world: Shared, address: SocketAddrV4, record: Arc<Record>) {
    let listener = TcpListener::bind(address).expect("the platform listens");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (world, record) = (world.clone(), record.clone());
            thread::spawn(move || {
                let mut lines = BufReader::new(stream.try_clone().expect("copies the stream"));
                let (mut line, mut length, mut fence, mut holder) = (String::new(), 0usize, 0u64, String::new());
                loop {
                    line.clear();
                    if lines.read_line(&mut line).unwrap_or(0) == 0 {
                        return;
                    }
                    let field = line.trim_end();
                    if field.is_empty() {
                        break;
                    }
                    if let Some((name, value)) = field.split_once(':') {
                        match name.to_ascii_lowercase().as_str() {
                            "content-length" => length = value.trim().parse().unwrap_or(0),
                            "arrowyard-fence" => fence = value.trim().parse().unwrap_or(0),
                            "arrowyard-duty-holder" => holder = value.trim().to_string(),
                            _ => {}
                        }
                    }
                }
                let mut body = vec![0; length];
                if lines.read_exact(&mut body).is_err() {
                    return;
                }
                let body = String::from_utf8_lossy(&body).into_owned();
                let id = body.split("\"id\":\"").nth(1).and_then(|rest| rest.split('"').next()).unwrap_or("").to_string();
                let status = {
                    let mut world = world.lock().unwrap();
                    let host = world.hosts.iter().find(|host| host.id == id);
                    if fence < world.fence || host.is_none_or(|host| !host.alive) {
                        409
                    } else {
                        world.fence = fence;
                        200
                    }
                };
                record.line(&format!("platform: {holder} with fence {fence} names {id}: {status}"));
                let mut stream = stream;
                let _ = stream
                    .write_all(format!("HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\n{{}}").as_bytes());
                if status == 200 {
                    thread::sleep(Duration::from_millis(1000));
                    promote(&world, &id, &record);
                }
            });
        }
    });
}

fn promote(world: &Shared, id: &str, record: &Record) {
    let mut world = world.lock().unwrap();
    let Some(index) = world.hosts.iter().position(|host| host.id == id) else { return };
    if world.hosts[index].primary || !world.hosts[index].alive {
        return;
    }
    world.term += 1;
    let term = world.term;
    let log = world.hosts[index].log.clone();
    let kept: BTreeSet<&String> = log.iter().flat_map(|commit| &commit.ids).collect();
    let lost: Vec<String> = world.acked.iter().filter(|id| !kept.contains(id)).cloned().collect();
    record.line(&format!(
        "{id} leads term {term} with {} commits; acknowledged writes missing in its log: {}",
        log.len(),
        lost.len()
    ));
    for id in &lost {
        record.line(&format!("LOST {id}"));
    }
    world.lost.extend(lost);
    world.promotions.push(id.to_string());
    for (other, host) in world.hosts.iter_mut().enumerate() {
        if other == index {
            (host.primary, host.term, host.role_changed, host.paused) = (true, term, true, false);
        } else if host.alive {
            // The old primary loses the lead in that moment; replicas that were ahead are cut back.
            if host.primary {
                (host.primary, host.role_changed) = (false, true);
            }
            host.paused = false;
            host.log.retain(|commit| log.contains(commit));
            host.term = term;
        }
    }
}

/// A client with one session that writes all the time, each write with a new id. It opens a new session after
/// an error.
pub fn write_client(
    world: Shared,
    front: SocketAddrV4,
    database: String,
    name: String,
    stop: Arc<AtomicBool>,
    record: Arc<Record>,
    answered: Arc<AtomicU64>,
) {
    thread::spawn(move || {
        let mut number = 0u64;
        while !stop.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(20));
            let Ok(stream) = TcpStream::connect_timeout(&front.into(), Duration::from_secs(1)) else { continue };
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
            let (Ok(mut output), mut lines) = (stream.try_clone(), BufReader::new(stream)) else { continue };
            if output.write_all(format!("OPEN {database} {name}\r\n").as_bytes()).is_err() {
                continue;
            }
            let mut line = String::new();
            if lines.read_line(&mut line).unwrap_or(0) == 0 || !line.starts_with("IDLE") {
                continue;
            }
            'session: while !stop.load(Ordering::Relaxed) {
                number += 1;
                let id = format!("{name}.{number}");
                if output.write_all(format!("QUERY {id} WRITE 1a{} data{number}\r\n", number % 40).as_bytes()).is_err() {
                    break;
                }
                let mut outcome = String::new();
                loop {
                    line.clear();
                    if lines.read_line(&mut line).unwrap_or(0) == 0 {
                        record.line(&format!("client {id}: no answer"));
                        break 'session;
                    }
                    if line.starts_with("IDLE") {
                        break;
                    }
                    outcome = line.trim_end().to_string();
                }
                if outcome.starts_with("SETTLED") {
                    answered.fetch_add(1, Ordering::Relaxed);
                    record.line(&format!("client {id}: {outcome}"));
                    let mut world = world.lock().unwrap();
                    world.acked.insert(id);
                } else {
                    record.line(&format!("client {id}: {outcome}"));
                }
                thread::sleep(Duration::from_millis(20));
            }
        }
    });
}

pub fn ip(net: u8, kind: u8, number: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, net, kind, number)
}

pub fn zones() -> BTreeMap<u8, &'static str> {
    BTreeMap::from([(1, "alausa"), (2, "oregun"), (3, "ogba")])
}
