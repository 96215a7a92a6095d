//! Scans the text along the schema: records the position of each field and finds unknown names, repeated
//! fields and values of the wrong kind. The parser library stops at the first error and keeps no positions.

use std::collections::HashMap;

use prost_reflect::{FieldDescriptor, Kind, MessageDescriptor};

use crate::ConfigError;
use crate::positions::{FieldPositions, Position};

/// The maximum nesting depth of messages.
const MAX_DEPTH: usize = 16;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Token<'a> {
    Word(&'a str),
    Number(&'a str),
    Text,
    Mark(char),
}

struct Scanner<'a> {
    text: &'a str,
    at: usize,
    line: usize,
    line_start: usize,
    places: FieldPositions,
    faults: Vec<ConfigError>,
}

/// The rest of the text cannot be scanned.
struct Unscannable;

pub fn scan(text: &str, root: &MessageDescriptor) -> (FieldPositions, Vec<ConfigError>) {
    let mut scanner = Scanner {
        text,
        at: 0,
        line: 1,
        line_start: 0,
        places: FieldPositions::default(),
        faults: Vec::new(),
    };
    let _ = scanner.message(root, "", None, 0);
    (scanner.places, scanner.faults)
}

impl<'a> Scanner<'a> {
    fn place(&self) -> Position {
        Position { line: self.line, column: self.text[self.line_start..self.at].chars().count() + 1 }
    }

    fn fault(&mut self, place: Position, field: &str, what: String) {
        self.faults.push(ConfigError { position: place, field: field.to_string(), message: what });
    }

    fn lost<T>(&mut self, field: &str, what: String) -> Result<T, Unscannable> {
        let place = self.place();
        self.fault(place, field, what);
        Err(Unscannable)
    }

    fn skip(&mut self) {
        while let Some(next) = self.text[self.at..].chars().next() {
            match next {
                '\n' => {
                    self.at += 1;
                    (self.line, self.line_start) = (self.line + 1, self.at);
                }
                '#' => self.at += self.text[self.at..].find('\n').unwrap_or(self.text.len() - self.at),
                next if next.is_whitespace() => self.at += next.len_utf8(),
                _ => return,
            }
        }
    }

    fn peek(&mut self) -> Option<char> {
        self.skip();
        self.text[self.at..].chars().next()
    }

    fn eat(&mut self, wanted: char) -> bool {
        let found = self.peek() == Some(wanted);
        self.at += if found { wanted.len_utf8() } else { 0 };
        found
    }

    fn token(&mut self) -> Result<Option<Token<'a>>, Unscannable> {
        let Some(first) = self.peek() else { return Ok(None) };
        let rest = &self.text[self.at..];
        let run = |also: &str| {
            let part = |c: char| c.is_ascii_alphanumeric() || also.contains(c);
            rest.find(|c| !part(c)).unwrap_or(rest.len())
        };
        let token = match first {
            '"' | '\'' => {
                let mut escaped = false;
                let end = rest[1..].find(|c| {
                    let end = c == '\n' || c == first && !escaped;
                    escaped = c == '\\' && !escaped;
                    end
                });
                match end.filter(|&end| !rest[1 + end..].starts_with('\n')) {
                    Some(end) => self.at += end + 2,
                    None => return self.lost("", "a text has no end on its line".to_string()),
                }
                return Ok(Some(Token::Text));
            }
            c if c.is_ascii_alphabetic() || c == '_' => Token::Word(&rest[..run("_")]),
            c if c.is_ascii_digit() || c == '.' => {
                // An exponent may hold a sign.
                let mut end = run("_.");
                if rest[..end].ends_with(['e', 'E']) && rest[end..].starts_with(['+', '-']) {
                    end += 1 + rest[end + 1..]
                        .find(|c: char| !c.is_ascii_digit())
                        .unwrap_or(rest.len() - end - 1);
                }
                Token::Number(&rest[..end])
            }
            c => {
                self.at += c.len_utf8();
                return Ok(Some(Token::Mark(c)));
            }
        };
        if let Token::Word(word) | Token::Number(word) = token {
            self.at += word.len();
        }
        Ok(Some(token))
    }

    /// The fields up to the end of the message: its closing mark, or the end of the text.
    fn message(
        &mut self,
        kind: &MessageDescriptor,
        path: &str,
        close: Option<char>,
        depth: usize,
    ) -> Result<(), Unscannable> {
        if depth > MAX_DEPTH {
            return self.lost(path, format!("messages nest deeper than {MAX_DEPTH}"));
        }
        let mut seen: HashMap<String, usize> = HashMap::new();
        loop {
            match (self.peek(), close) {
                (None, None) => return Ok(()),
                (None, Some(close)) => return self.lost(path, format!("the file ends before '{close}'")),
                (Some(next), Some(close)) if next == close => {
                    self.at += 1;
                    return Ok(());
                }
                _ => {}
            }
            let place = self.place();
            let name = match self.token()? {
                Some(Token::Word(name)) => name,
                _ => {
                    self.fault(place, path, "the name of a field is expected here".to_string());
                    return Err(Unscannable);
                }
            };
            let inside = if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
            let Some(field) = kind.get_field_by_name(name) else {
                self.fault(
                    place,
                    &inside,
                    unknown("field", name, kind.fields().map(|f| f.name().to_string())),
                );
                self.skip_value(depth)?;
                continue;
            };
            let colon = self.eat(':');
            let rows = seen.entry(name.to_string()).or_default();
            if self.eat('[') {
                if !field.is_list() {
                    let what = "it is given once, without [ ]".to_string();
                    self.fault(place, &inside, what);
                }
                if !self.eat(']') {
                    loop {
                        let place = self.place();
                        let row = format!("{inside}[{rows}]");
                        self.places.0.insert(row.clone(), place);
                        *rows += 1;
                        self.value(&field, &row, colon, depth)?;
                        if self.eat(']') {
                            break;
                        }
                        if !self.eat(',') {
                            return self.lost(&inside, "',' or ']' is expected here".to_string());
                        }
                    }
                }
            } else {
                let row = if field.is_list() { format!("{inside}[{rows}]") } else { inside.clone() };
                *rows += 1;
                if *rows > 1 && !field.is_list() {
                    let first = self.places.nearest(&row);
                    let what = format!("it stands twice, first in line {}; leave one", first.line);
                    self.fault(place, &inside, what);
                } else {
                    self.places.0.insert(row.clone(), place);
                }
                self.value(&field, &row, colon, depth)?;
            }
            let _ = self.eat(',') || self.eat(';');
        }
    }

    fn value(
        &mut self,
        field: &FieldDescriptor,
        path: &str,
        colon: bool,
        depth: usize,
    ) -> Result<(), Unscannable> {
        self.skip();
        let place = self.place();
        if let Kind::Message(kind) = field.kind() {
            let close = match self.peek() {
                Some('{') => '}',
                Some('<') => '>',
                _ => return self.lost(path, "'{' is expected here".to_string()),
            };
            self.at += 1;
            return self.message(&kind, path, Some(close), depth + 1);
        }
        if !colon {
            return self.lost(path, "':' is expected after the name".to_string());
        }
        let minus = self.eat('-');
        let Some(token) = self.token()? else {
            return self.lost(path, "the file ends before the value".to_string());
        };
        let wanted = match (field.kind(), token) {
            (Kind::String, Token::Text) if !minus => {
                // Texts that follow each other are one.
                while matches!(self.peek(), Some('"' | '\'')) {
                    self.token()?;
                }
                return Ok(());
            }
            (Kind::String, _) => "a text in quotes".to_string(),
            (Kind::Bool, Token::Word("true" | "false" | "True" | "False" | "t" | "f")) if !minus => {
                return Ok(());
            }
            (Kind::Bool, _) => "true or false".to_string(),
            (Kind::Double, Token::Number(number))
                if number.trim_end_matches(['f', 'F']).parse::<f64>().is_ok() =>
            {
                return Ok(());
            }
            (Kind::Double, _) => "a number".to_string(),
            (Kind::Uint32, Token::Number(number)) if !minus && number.parse::<u32>().is_ok() => return Ok(()),
            (Kind::Uint32, _) => format!("a whole number from 0 to {}", u32::MAX),
            (Kind::Uint64, Token::Number(number)) if !minus && number.parse::<u64>().is_ok() => return Ok(()),
            (Kind::Uint64, _) => format!("a whole number from 0 to {}", u64::MAX),
            (Kind::Int64, Token::Number(number)) if number.parse::<i64>().is_ok() => return Ok(()),
            (Kind::Int64, _) => "a whole number".to_string(),
            (Kind::Enum(kind), Token::Word(word)) => {
                if !minus && kind.get_value_by_name(word).is_some() {
                    return Ok(());
                }
                let what = unknown("word", word, kind.values().map(|value| value.name().to_string()));
                self.fault(place, path, what);
                return Ok(());
            }
            (Kind::Enum(kind), _) => {
                let words: Vec<String> = kind.values().map(|value| value.name().to_string()).collect();
                format!("one of {}", words.join(", "))
            }
            _ => return Ok(()),
        };
        self.fault(place, path, format!("{wanted} is expected here"));
        match token {
            Token::Mark(_) => Err(Unscannable),
            _ => Ok(()),
        }
    }

    /// The value of a field that is not known.
    fn skip_value(&mut self, depth: usize) -> Result<(), Unscannable> {
        let _ = self.eat(':');
        let mut open = Vec::new();
        loop {
            let Some(token) = self.token()? else {
                return if open.is_empty() {
                    Ok(())
                } else {
                    self.lost("", "the file ends too soon".to_string())
                };
            };
            match token {
                Token::Mark('-') => continue,
                Token::Mark(mark @ ('{' | '<' | '[')) => open.push(mark),
                Token::Mark('}' | '>' | ']') => {
                    open.pop();
                }
                _ => {}
            }
            if open.len() > MAX_DEPTH - depth.min(MAX_DEPTH) {
                return self.lost("", format!("messages nest deeper than {MAX_DEPTH}"));
            }
            if open.is_empty() {
                let _ = self.eat(',') || self.eat(';');
                return Ok(());
            }
        }
    }
}

/// That a name is not known, and the known one that is nearest, or all of them if there are few.
fn unknown(what: &str, name: &str, known: impl Iterator<Item = String>) -> String {
    let known: Vec<String> = known.collect();
    let nearest = known.iter().map(|other| (distance(name, other), other)).min();
    match nearest.filter(|(far, _)| *far <= 2.max(name.len() / 3)) {
        Some((_, other)) => format!("no {what} has this name; {other} is meant?"),
        None => format!("no {what} has this name; there are {}", known.join(", ")),
    }
}

/// How many letters are to be changed, added or left out to make one word of the other.
fn distance(one: &str, other: &str) -> usize {
    let mut row: Vec<usize> = (0..=other.len()).collect();
    for (i, a) in one.bytes().enumerate() {
        let mut diagonal = std::mem::replace(&mut row[0], i + 1);
        for (j, b) in other.bytes().enumerate() {
            let least = (diagonal + usize::from(a != b)).min(row[j] + 1).min(row[j + 1] + 1);
            diagonal = std::mem::replace(&mut row[j + 1], least);
        }
    }
    row[other.len()]
}
