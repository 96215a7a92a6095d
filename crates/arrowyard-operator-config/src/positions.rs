//! Positions of fields in a file.

use std::collections::HashMap;

use miette::Diagnostic;
use prost_reflect::text_format::ParseError;

use crate::ConfigError;

/// A position in a file; lines and columns count from 1, columns in characters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    pub line: usize,
    pub column: usize,
}

impl Position {
    /// The position of a byte offset; an offset within a character is that of the character's start.
    pub fn at_offset(text: &str, offset: usize) -> Position {
        let offset = (0..=offset.min(text.len())).rev().find(|&at| text.is_char_boundary(at)).unwrap_or(0);
        let text_before = &text[..offset];
        let line_start = text_before.rfind('\n').map_or(0, |line_end| line_end + 1);
        Position {
            line: text_before.matches('\n').count() + 1,
            column: text_before[line_start..].chars().count() + 1,
        }
    }
}

/// Positions by the path of the field, as in `cells.cell[1].weight`; elements of repeated fields count from
/// 0.
#[derive(Debug, Default)]
pub struct FieldPositions(pub(crate) HashMap<String, Position>);

impl FieldPositions {
    /// The position of the field, or of the nearest enclosing field that is present.
    pub fn nearest(&self, path: &str) -> Position {
        let mut path = path;
        loop {
            if let Some(&position) = self.0.get(path) {
                return position;
            }
            match path.rfind('.') {
                Some(parent_end) => path = &path[..parent_end],
                None => return Position { line: 1, column: 1 },
            }
        }
    }
}

/// Converts an error of the text format parser.
pub fn parse_error(text: &str, error: &ParseError) -> ConfigError {
    let offset = error.labels().and_then(|mut labels| labels.next()).map_or(0, |label| label.offset());
    let help = error.help().map_or(String::new(), |help| format!("; {help}"));
    ConfigError {
        position: Position::at_offset(text, offset),
        field: String::new(),
        message: format!("{error}{help}"),
    }
}
