//! Scans the text by the schema: records the position of each field and finds unknown names, repeated fields
//! and values of the wrong kind. The parser library stops at the first error and keeps no positions.

use std::collections::HashMap;

use prost_reflect::{FieldDescriptor, Kind, MessageDescriptor};

use crate::ConfigError;
use crate::positions::{FieldPositions, Position};

/// The maximum nesting depth of messages.
const MAX_DEPTH: usize = 16;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Token<'a> {
    Identifier(&'a str),
    Number(&'a str),
    String,
    Symbol(char),
}

struct Scanner<'a> {
    text: &'a str,
    /// The byte offset of the next character.
    offset: usize,
    line: usize,
    /// The byte offset of the current line.
    line_start: usize,
    positions: FieldPositions,
    errors: Vec<ConfigError>,
}

/// Returned when the rest of the text cannot be scanned; the error is in `Scanner::errors`.
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
        while let Some(next_char) = self.text[self.offset..].chars().next() {
            match next_char {
                '\n' => {
                    self.offset += 1;
                    (self.line, self.line_start) = (self.line + 1, self.offset);
                }
                '#' => {
                    self.offset +=
                        self.text[self.offset..].find('\n').unwrap_or(self.text.len() - self.offset)
                }
                space if space.is_whitespace() => self.offset += space.len_utf8(),
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
        let is_next = self.peek() == Some(expected);
        self.offset += if is_next { expected.len_utf8() } else { 0 };
        is_next
    }

    /// The next token; `None` at the end of the text.
    fn next_token(&mut self) -> Result<Option<Token<'a>>, Unscannable> {
        let Some(first) = self.peek() else { return Ok(None) };
        let remaining = &self.text[self.offset..];
        let run_length = |extra_chars: &str| {
            let is_in_run = |c: char| c.is_ascii_alphanumeric() || extra_chars.contains(c);
            remaining.find(|c| !is_in_run(c)).unwrap_or(remaining.len())
        };
        let token = match first {
            '"' | '\'' => {
                let mut escaped = false;
                let end = remaining[1..].find(|c| {
                    let is_end = c == '\n' || c == first && !escaped;
                    escaped = c == '\\' && !escaped;
                    is_end
                });
                match end.filter(|&end| !remaining[1 + end..].starts_with('\n')) {
                    Some(end) => self.offset += end + 2,
                    None => return self.fail("", "the string is not terminated on its line".to_string()),
                }
                return Ok(Some(Token::String));
            }
            c if c.is_ascii_alphabetic() || c == '_' => Token::Identifier(&remaining[..run_length("_")]),
            c if c.is_ascii_digit() || c == '.' => {
                // An exponent may have a sign.
                let mut end = run_length("_.");
                if remaining[..end].ends_with(['e', 'E']) && remaining[end..].starts_with(['+', '-']) {
                    end += 1 + remaining[end + 1..]
                        .find(|c: char| !c.is_ascii_digit())
                        .unwrap_or(remaining.len() - end - 1);
                }
                Token::Number(&remaining[..end])
            }
            c => {
                self.offset += c.len_utf8();
                return Ok(Some(Token::Symbol(c)));
            }
        };
        if let Token::Identifier(token_text) | Token::Number(token_text) = token {
            self.offset += token_text.len();
        }
        Ok(Some(token))
    }

    /// Scans the fields up to the end of the message: its closing bracket, or the end of the text.
    fn scan_message(
        &mut self,
        descriptor: &MessageDescriptor,
        path: &str,
        closing_bracket: Option<char>,
        depth: usize,
    ) -> Result<(), Unscannable> {
        if depth > MAX_DEPTH {
            return self.fail(path, format!("messages nest deeper than {MAX_DEPTH}"));
        }
        let mut element_counts: HashMap<String, usize> = HashMap::new();
        loop {
            match (self.peek(), closing_bracket) {
                (None, None) => return Ok(()),
                (None, Some(bracket)) => return self.fail(path, format!("the file ends before '{bracket}'")),
                (Some(next_char), Some(bracket)) if next_char == bracket => {
                    self.offset += 1;
                    return Ok(());
                }
                _ => {}
            }
            let position = self.position();
            let name = match self.next_token()? {
                Some(Token::Identifier(name)) => name,
                _ => {
                    self.push_error(position, path, "expected a field name".to_string());
                    return Err(Unscannable);
                }
            };
            let field_path = if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
            let Some(field) = descriptor.get_field_by_name(name) else {
                self.push_error(
                    position,
                    &field_path,
                    unknown_name("field", name, descriptor.fields().map(|f| f.name().to_string())),
                );
                self.skip_value(depth)?;
                continue;
            };
            let has_colon = self.accept(':');
            let element_count = element_counts.entry(name.to_string()).or_default();
            if self.accept('[') {
                if !field.is_list() {
                    let message = "the field is not repeated; remove [ ]".to_string();
                    self.push_error(position, &field_path, message);
                }
                if !self.accept(']') {
                    loop {
                        let position = self.position();
                        let element_path = format!("{field_path}[{element_count}]");
                        self.positions.0.insert(element_path.clone(), position);
                        *element_count += 1;
                        self.scan_value(&field, &element_path, has_colon, depth)?;
                        if self.accept(']') {
                            break;
                        }
                        if !self.accept(',') {
                            return self.fail(&field_path, "expected ',' or ']'".to_string());
                        }
                    }
                }
            } else {
                let element_path = if field.is_list() {
                    format!("{field_path}[{element_count}]")
                } else {
                    field_path.clone()
                };
                *element_count += 1;
                if *element_count > 1 && !field.is_list() {
                    let first_position = self.positions.nearest(&element_path);
                    let message =
                        format!("the field is set twice, first in line {}; remove one", first_position.line);
                    self.push_error(position, &field_path, message);
                } else {
                    self.positions.0.insert(element_path.clone(), position);
                }
                self.scan_value(&field, &element_path, has_colon, depth)?;
            }
            let _ = self.accept(',') || self.accept(';');
        }
    }

    /// Scans the value of a field and checks that it fits the field's type.
    fn scan_value(
        &mut self,
        field: &FieldDescriptor,
        path: &str,
        has_colon: bool,
        depth: usize,
    ) -> Result<(), Unscannable> {
        self.skip_space();
        let position = self.position();
        if let Kind::Message(descriptor) = field.kind() {
            let closing_bracket = match self.peek() {
                Some('{') => '}',
                Some('<') => '>',
                _ => return self.fail(path, "expected '{'".to_string()),
            };
            self.offset += 1;
            return self.scan_message(&descriptor, path, Some(closing_bracket), depth + 1);
        }
        if !has_colon {
            return self.fail(path, "expected ':' after the field name".to_string());
        }
        let has_minus = self.accept('-');
        let Some(token) = self.next_token()? else {
            return self.fail(path, "the file ends before the value".to_string());
        };
        let expected = match (field.kind(), token) {
            (Kind::String, Token::String) if !has_minus => {
                // Adjacent strings are concatenated.
                while matches!(self.peek(), Some('"' | '\'')) {
                    self.next_token()?;
                }
                return Ok(());
            }
            (Kind::String, _) => "a quoted string".to_string(),
            (Kind::Bool, Token::Identifier("true" | "false" | "True" | "False" | "t" | "f"))
                if !has_minus =>
            {
                return Ok(());
            }
            (Kind::Bool, _) => "true or false".to_string(),
            (Kind::Double, Token::Number(number))
                if number.trim_end_matches(['f', 'F']).parse::<f64>().is_ok() =>
            {
                return Ok(());
            }
            (Kind::Double, _) => "a number".to_string(),
            (Kind::Uint32, Token::Number(number)) if !has_minus && number.parse::<u32>().is_ok() => {
                return Ok(());
            }
            (Kind::Uint32, _) => format!("a whole number from 0 to {}", u32::MAX),
            (Kind::Uint64, Token::Number(number)) if !has_minus && number.parse::<u64>().is_ok() => {
                return Ok(());
            }
            (Kind::Uint64, _) => format!("a whole number from 0 to {}", u64::MAX),
            (Kind::Int64, Token::Number(number)) if number.parse::<i64>().is_ok() => return Ok(()),
            (Kind::Int64, _) => "a whole number".to_string(),
            (Kind::Enum(enum_descriptor), Token::Identifier(name)) => {
                if !has_minus && enum_descriptor.get_value_by_name(name).is_some() {
                    return Ok(());
                }
                let message = unknown_name(
                    "value",
                    name,
                    enum_descriptor.values().map(|value| value.name().to_string()),
                );
                self.push_error(position, path, message);
                return Ok(());
            }
            (Kind::Enum(enum_descriptor), _) => {
                let value_names: Vec<String> =
                    enum_descriptor.values().map(|value| value.name().to_string()).collect();
                format!("one of {}", value_names.join(", "))
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

/// The error message for an unknown name: suggests the nearest known name, or lists all known names.
fn unknown_name(kind: &str, name: &str, known_names: impl Iterator<Item = String>) -> String {
    let known_names: Vec<String> = known_names.collect();
    let nearest = known_names.iter().map(|known| (edit_distance(name, known), known)).min();
    match nearest.filter(|(distance, _)| *distance <= 2.max(name.len() / 3)) {
        Some((_, known)) => format!("unknown {kind}; did you mean {known}?"),
        None => format!("unknown {kind}; known: {}", known_names.join(", ")),
    }
}

/// The Levenshtein distance of two names, in bytes.
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
