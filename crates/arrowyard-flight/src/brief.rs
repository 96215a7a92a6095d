//! What a call says of its op: in the comment at the head of its statement, as in PostgreSQL's protocol, or in gRPC
//! metadata. The two become one statement with one comment, which is what the core and every kind of host know.

use arrowyard_pg::Statement;

use crate::status::Fault;

/// The names of metadata, and what stands for them in a comment.
pub const NAMES: [(&str, &str); 8] = [
    ("arrowyard-id", "id"),
    ("arrowyard-op-type", "c"),
    ("arrowyard-tenant", "t"),
    ("arrowyard-timeout-ms", "d"),
    ("arrowyard-token", "k"),
    ("arrowyard-group", "cluster"),
    ("arrowyard-after", "after"),
    ("arrowyard-again", "r"),
];

/// Bytes of a value in metadata at most.
const LONGEST: usize = 128;

/// What a call's metadata says, by the comment's names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Notes {
    told: Vec<(&'static str, String)>,
    /// The client's own timer, in milliseconds.
    timer: Option<u64>,
}

impl Notes {
    /// Takes one name of the metadata; those of others are passed over.
    ///
    /// # Errors
    /// The value cannot stand in a comment, or the name came twice.
    pub fn take(&mut self, name: &str, value: &str) -> Result<(), Fault> {
        if name == "grpc-timeout" {
            let timer = timer(value).ok_or_else(|| Fault::NoOp("grpc-timeout is no time".to_string()))?;
            self.timer = Some(timer);
            return Ok(());
        }
        let Some(&(_, short)) = NAMES.iter().find(|(long, _)| *long == name) else { return Ok(()) };
        // Danger: a value that ends the comment, or begins another name of it, says what nobody checked.
        let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"_-.:+@".contains(&byte);
        if value.is_empty() || value.len() > LONGEST || !value.bytes().all(plain) {
            return Err(Fault::NoOp(format!("{name} holds what cannot stand there")));
        }
        if self.told.iter().any(|(known, _)| *known == short) {
            return Err(Fault::NoOp(format!("{name} came twice")));
        }
        self.told.push((short, value.to_string()));
        Ok(())
    }
}

/// `grpc-timeout`, as the protocol writes it, in whole milliseconds.
fn timer(value: &str) -> Option<u64> {
    let (number, unit) = value.split_at_checked(value.len().checked_sub(1)?)?;
    if number.is_empty() || number.len() > 8 || !number.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    let number: u64 = number.parse().ok()?;
    Some(match unit {
        "H" => number * 3_600_000,
        "M" => number * 60_000,
        "S" => number * 1000,
        "m" => number,
        "u" => number / 1000,
        "n" => number / 1_000_000,
        _ => return None,
    })
}

/// The names of a comment with their values, in their order, and what follows it.
type Parts<'a> = (Vec<(&'a str, &'a str)>, &'a str);

fn parts(text: &str) -> Result<Parts<'_>, Fault> {
    let Some(comment) = text.trim_start().strip_prefix("/*") else { return Ok((Vec::new(), text)) };
    let (comment, rest) =
        comment.split_once("*/").ok_or_else(|| Fault::NoOp("a comment has no end".to_string()))?;
    let mut named = Vec::new();
    for part in comment.split(',') {
        // A comment of another kind says nothing to a router.
        let Some((name, value)) = part.split_once('=') else { return Ok((Vec::new(), text)) };
        named.push((name.trim(), value.trim()));
    }
    Ok((named, rest))
}

/// The statement with one comment that says what its own and the metadata say. `after` is the later of the two, since
/// both are lower bounds; a repeat is one if either says so.
///
/// # Errors
/// They contradict each other.
pub fn merge(text: &str, notes: &Notes) -> Result<String, Fault> {
    let (named, rest) = parts(text)?;
    let mut whole: Vec<(&str, String)> =
        named.iter().map(|&(name, value)| (name, value.to_string())).collect();
    let mut changed = false;
    for (name, value) in &notes.told {
        let Some((_, known)) = whole.iter_mut().find(|(known, _)| known == name) else {
            whole.push((name, value.clone()));
            changed = true;
            continue;
        };
        if known == value {
            continue;
        }
        let later = || Some(value.parse::<i64>().ok()?.max(known.parse::<i64>().ok()?).to_string());
        let merged = match *name {
            "after" => later(),
            "r" => Some("1".to_string()),
            _ => None,
        };
        let Some(merged) = merged else {
            return Err(Fault::NoOp(format!("the comment says {name}={known}, and the metadata {value}")));
        };
        changed |= *known != merged;
        *known = merged;
    }
    if !changed {
        return Ok(text.to_string());
    }
    let comment: Vec<String> = whole.iter().map(|(name, value)| format!("{name}={value}")).collect();
    Ok(format!("/* {} */{}{rest}", comment.join(","), if rest.starts_with(' ') { "" } else { " " }))
}

/// The statement as an op: whole, with an id, and with the time that its client waits.
///
/// # Errors
/// Something that an op needs is not said, or is contradicted.
pub fn op(text: &str, notes: &Notes, draw: impl FnOnce() -> u64) -> Result<Statement, Fault> {
    let mut text = merge(text, notes)?;
    let (named, _) = parts(&text)?;
    let told = |name: &str| named.iter().find(|(known, _)| *known == name).map(|(_, value)| *value);
    let mut more = Notes::default();
    if told("id").is_none_or(str::is_empty) {
        more.told.push(("id", format!("{:016x}", draw())));
    }
    match (told("d").map(str::parse::<u64>), notes.timer) {
        // Danger: the client's timer ends before the time that its op was given; an answer after it is none.
        (Some(Ok(told)), Some(timer)) if told > timer => {
            return Err(Fault::NoOp(format!("d says {told} ms, and grpc-timeout ends after {timer}")));
        }
        (Some(_), _) => {}
        (None, Some(timer)) => more.told.push(("d", timer.min(u64::from(u32::MAX)).to_string())),
        (None, None) => {
            return Err(Fault::NoOp("neither d, arrowyard-timeout-ms nor grpc-timeout is said".to_string()));
        }
    }
    if !more.told.is_empty() {
        text = merge(&text, &more)?;
    }
    Statement::parse(text).map_err(|malformed| Fault::NoOp(malformed.0.to_string()))
}
