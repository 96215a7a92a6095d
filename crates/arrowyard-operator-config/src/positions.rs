//! Where the fields of a file stand.

use std::collections::HashMap;

use miette::Diagnostic;
use prost_reflect::text_format::ParseError;

use crate::ConfigError;

/// A place in a file, both counted from 1; columns in characters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    pub line: usize,
    pub column: usize,
}

impl Position {
    pub fn at_offset(text: &str, offset: usize) -> Position {
        let offset = (0..=offset.min(text.len())).rev().find(|&at| text.is_char_boundary(at)).unwrap_or(0);
        let before = &text[..offset];
        let line_start = before.rfind('\n').map_or(0, |end| end + 1);
        Position { line: before.matches('\n').count() + 1, column: before[line_start..].chars().count() + 1 }
    }
}

/// By the path of a field, as in `cells.cell[1].weight`, where it stands. Rows of a field that may be repeated are
/// numbered from 0.
#[derive(Debug, Default)]
pub struct FieldPositions(pub(crate) HashMap<String, Position>);

impl FieldPositions {
    /// Where the field stands, or the nearest around it that stands anywhere.
    pub fn nearest(&self, path: &str) -> Position {
        let mut path = path;
        loop {
            if let Some(&place) = self.0.get(path) {
                return place;
            }
            match path.rfind('.') {
                Some(end) => path = &path[..end],
                None => return Position { line: 1, column: 1 },
            }
        }
    }
}

/// What the library says is wrong, with its place.
pub fn parse_error(text: &str, error: &ParseError) -> ConfigError {
    let offset = error.labels().and_then(|mut labels| labels.next()).map_or(0, |label| label.offset());
    let help = error.help().map_or(String::new(), |help| format!("; {help}"));
    ConfigError {
        position: Position::at_offset(text, offset),
        field: String::new(),
        message: format!("{error}{help}"),
    }
}
