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
    String,
    Symbol(char),
}

struct Scanner<'a> {
    text: &'a str,
    /// The byte offset of the next character.
    offset: usize,
    line: usize,
    line_start: usize,
    positions: FieldPositions,
    errors: Vec<ConfigError>,
}

/// The rest of the text cannot be scanned; the error is recorded.
struct Unscannable;

/// Scans a text; returns the positions of its fields and the errors found.
pub fn scan(text: &str, root: &MessageDescriptor) -> (FieldPositions, Vec<ConfigError>) {
    let mut scanner = Scanner {
        text,
        offset: 0,
        line: 1,
        line_start: 0,
        positions: FieldPositions::default(),
        errors: Vec::new(),
    };
    let _ = scanner.scan_message(root, "", None, 0);
    (scanner.positions, scanner.errors)
}

impl<'a> Scanner<'a> {
    fn position(&self) -> Position {
        Position { line: self.line, column: self.text[self.line_start..self.offset].chars().count() + 1 }
    }

    fn push_error(&mut self, position: Position, field: &str, message: String) {
        self.errors.push(ConfigError { position, field: field.to_string(), message });
    }

    /// Records an error after which the rest of the text cannot be scanned.
    fn fail<T>(&mut self, field: &str, message: String) -> Result<T, Unscannable> {
        let position = self.position();
        self.push_error(position, field, message);
        Err(Unscannable)
    }

    /// Skips white space and comments.
    fn skip_space(&mut self) {
        while let Some(next) = self.text[self.offset..].chars().next() {
            match next {
                '\n' => {
                    self.offset += 1;
                    (self.line, self.line_start) = (self.line + 1, self.offset);
                }
                '#' => {
                    self.offset +=
                        self.text[self.offset..].find('\n').unwrap_or(self.text.len() - self.offset)
                }
                next if next.is_whitespace() => self.offset += next.len_utf8(),
                _ => return,
            }
        }
    }

    /// The next character after white space.
    fn peek(&mut self) -> Option<char> {
        self.skip_space();
        self.text[self.offset..].chars().next()
    }

    /// Consumes the character if it is the next one.
    fn accept(&mut self, expected: char) -> bool {
        let found = self.peek() == Some(expected);
        self.offset += if found { expected.len_utf8() } else { 0 };
        found
    }

    /// The next token; `None` at the end of the text.
    fn next_token(&mut self) -> Result<Option<Token<'a>>, Unscannable> {
        let Some(first) = self.peek() else { return Ok(None) };
        let rest = &self.text[self.offset..];
        let run_len = |extra: &str| {
            let is_in_run = |c: char| c.is_ascii_alphanumeric() || extra.contains(c);
            rest.find(|c| !is_in_run(c)).unwrap_or(rest.len())
        };
        let token = match first {
            '"' | '\'' => {
                let mut escaped = false;
                let end = rest[1..].find(|c| {
                    let is_end = c == '\n' || c == first && !escaped;
                    escaped = c == '\\' && !escaped;
                    is_end
                });
                match end.filter(|&end| !rest[1 + end..].starts_with('\n')) {
                    Some(end) => self.offset += end + 2,
                    None => return self.fail("", "the string is not terminated on its line".to_string()),
                }
                return Ok(Some(Token::String));
            }
            c if c.is_ascii_alphabetic() || c == '_' => Token::Word(&rest[..run_len("_")]),
            c if c.is_ascii_digit() || c == '.' => {
                // An exponent may have a sign.
                let mut end = run_len("_.");
                if rest[..end].ends_with(['e', 'E']) && rest[end..].starts_with(['+', '-']) {
                    end += 1 + rest[end + 1..]
                        .find(|c: char| !c.is_ascii_digit())
                        .unwrap_or(rest.len() - end - 1);
                }
                Token::Number(&rest[..end])
            }
            c => {
                self.offset += c.len_utf8();
                return Ok(Some(Token::Symbol(c)));
            }
        };
        if let Token::Word(word) | Token::Number(word) = token {
            self.offset += word.len();
        }
        Ok(Some(token))
    }

    /// Scans the fields up to the end of the message: its closing bracket, or the end of the text.
    fn scan_message(
        &mut self,
        kind: &MessageDescriptor,
        path: &str,
        close: Option<char>,
        depth: usize,
    ) -> Result<(), Unscannable> {
        if depth > MAX_DEPTH {
            return self.fail(path, format!("messages nest deeper than {MAX_DEPTH}"));
        }
        let mut seen: HashMap<String, usize> = HashMap::new();
        loop {
            match (self.peek(), close) {
                (None, None) => return Ok(()),
                (None, Some(close)) => return self.fail(path, format!("the file ends before '{close}'")),
                (Some(next), Some(close)) if next == close => {
                    self.offset += 1;
                    return Ok(());
                }
                _ => {}
            }
            let position = self.position();
            let name = match self.next_token()? {
                Some(Token::Word(name)) => name,
                _ => {
                    self.push_error(position, path, "expected a field name".to_string());
                    return Err(Unscannable);
                }
            };
            let field_path = if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
            let Some(field) = kind.get_field_by_name(name) else {
                self.push_error(
                    position,
                    &field_path,
                    unknown_name("field", name, kind.fields().map(|f| f.name().to_string())),
                );
                self.skip_value(depth)?;
                continue;
            };
            let colon = self.accept(':');
            let count = seen.entry(name.to_string()).or_default();
            if self.accept('[') {
                if !field.is_list() {
                    let message = "the field is not repeated; remove [ ]".to_string();
                    self.push_error(position, &field_path, message);
                }
                if !self.accept(']') {
                    loop {
                        let position = self.position();
                        let element_path = format!("{field_path}[{count}]");
                        self.positions.0.insert(element_path.clone(), position);
                        *count += 1;
                        self.scan_value(&field, &element_path, colon, depth)?;
                        if self.accept(']') {
                            break;
                        }
                        if !self.accept(',') {
                            return self.fail(&field_path, "expected ',' or ']'".to_string());
                        }
                    }
                }
            } else {
                let element_path =
                    if field.is_list() { format!("{field_path}[{count}]") } else { field_path.clone() };
                *count += 1;
                if *count > 1 && !field.is_list() {
                    let first = self.positions.nearest(&element_path);
                    let message = format!("the field is set twice, first in line {}; remove one", first.line);
                    self.push_error(position, &field_path, message);
                } else {
                    self.positions.0.insert(element_path.clone(), position);
                }
                self.scan_value(&field, &element_path, colon, depth)?;
            }
            let _ = self.accept(',') || self.accept(';');
        }
    }

    /// Scans the value of a field and checks its kind.
    fn scan_value(
        &mut self,
        field: &FieldDescriptor,
        path: &str,
        colon: bool,
        depth: usize,
    ) -> Result<(), Unscannable> {
        self.skip_space();
        let position = self.position();
        if let Kind::Message(kind) = field.kind() {
            let close = match self.peek() {
                Some('{') => '}',
                Some('<') => '>',
                _ => return self.fail(path, "expected '{'".to_string()),
            };
            self.offset += 1;
            return self.scan_message(&kind, path, Some(close), depth + 1);
        }
        if !colon {
            return self.fail(path, "expected ':' after the field name".to_string());
        }
        let minus = self.accept('-');
        let Some(token) = self.next_token()? else {
            return self.fail(path, "the file ends before the value".to_string());
        };
        let expected = match (field.kind(), token) {
            (Kind::String, Token::String) if !minus => {
                // Adjacent strings are concatenated.
                while matches!(self.peek(), Some('"' | '\'')) {
                    self.next_token()?;
                }
                return Ok(());
            }
            (Kind::String, _) => "a quoted string".to_string(),
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
                let message =
                    unknown_name("value", word, kind.values().map(|value| value.name().to_string()));
                self.push_error(position, path, message);
                return Ok(());
            }
            (Kind::Enum(kind), _) => {
                let words: Vec<String> = kind.values().map(|value| value.name().to_string()).collect();
                format!("one of {}", words.join(", "))
            }
            _ => return Ok(()),
        };
        self.push_error(position, path, format!("expected {expected}"));
        match token {
            Token::Symbol(_) => Err(Unscannable),
            _ => Ok(()),
        }
    }

    /// Skips the value of an unknown field.
    fn skip_value(&mut self, depth: usize) -> Result<(), Unscannable> {
        let _ = self.accept(':');
        let mut open_brackets = Vec::new();
        loop {
            let Some(token) = self.next_token()? else {
                return if open_brackets.is_empty() {
                    Ok(())
                } else {
                    self.fail("", "unexpected end of file".to_string())
                };
            };
            match token {
                Token::Symbol('-') => continue,
                Token::Symbol(symbol @ ('{' | '<' | '[')) => open_brackets.push(symbol),
                Token::Symbol('}' | '>' | ']') => {
                    open_brackets.pop();
                }
                _ => {}
            }
            if open_brackets.len() > MAX_DEPTH - depth.min(MAX_DEPTH) {
                return self.fail("", format!("messages nest deeper than {MAX_DEPTH}"));
            }
            if open_brackets.is_empty() {
                let _ = self.accept(',') || self.accept(';');
                return Ok(());
            }
        }
    }
}

/// The message for an unknown name: suggests the nearest known one, else lists all of them.
fn unknown_name(kind: &str, name: &str, known: impl Iterator<Item = String>) -> String {
    let known: Vec<String> = known.collect();
    let nearest = known.iter().map(|other| (edit_distance(name, other), other)).min();
    match nearest.filter(|(distance, _)| *distance <= 2.max(name.len() / 3)) {
        Some((_, other)) => format!("unknown {kind}; did you mean {other}?"),
        None => format!("unknown {kind}; known: {}", known.join(", ")),
    }
}

/// The Levenshtein distance of two words, in bytes.
fn edit_distance(first: &str, second: &str) -> usize {
    let mut row: Vec<usize> = (0..=second.len()).collect();
    for (i, a) in first.bytes().enumerate() {
        let mut diagonal = std::mem::replace(&mut row[0], i + 1);
        for (j, b) in second.bytes().enumerate() {
            let cost = (diagonal + usize::from(a != b)).min(row[j] + 1).min(row[j + 1] + 1);
            diagonal = std::mem::replace(&mut row[j + 1], cost);
        }
    }
    row[second.len()]
}
