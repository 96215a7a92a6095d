//! Where the fields of a file stand.

use std::collections::HashMap;

use miette::Diagnostic;
use prost_reflect::text_format::ParseError;

use crate::Fault;

/// A place in a file, both counted from 1; columns in characters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    pub line: usize,
    pub column: usize,
}

impl Place {
    pub fn of(text: &str, offset: usize) -> Place {
        let offset = (0..=offset.min(text.len())).rev().find(|&at| text.is_char_boundary(at)).unwrap_or(0);
        let before = &text[..offset];
        let line_start = before.rfind('\n').map_or(0, |end| end + 1);
        Place { line: before.matches('\n').count() + 1, column: before[line_start..].chars().count() + 1 }
    }
}

/// By the path of a field, as in `cells.cell[1].weight`, where it stands. Rows of a field that may be repeated are
/// numbered from 0.
#[derive(Debug, Default)]
pub struct Places(pub(crate) HashMap<String, Place>);

impl Places {
    /// Where the field stands, or the nearest around it that stands anywhere.
    pub fn of(&self, path: &str) -> Place {
        let mut path = path;
        loop {
            if let Some(&place) = self.0.get(path) {
                return place;
            }
            match path.rfind('.') {
                Some(end) => path = &path[..end],
                None => return Place { line: 1, column: 1 },
            }
        }
    }
}

/// What the library says is wrong, with its place.
pub fn of_error(text: &str, error: &ParseError) -> Fault {
    let offset = error.labels().and_then(|mut labels| labels.next()).map_or(0, |label| label.offset());
    let help = error.help().map_or(String::new(), |help| format!("; {help}"));
    Fault { place: Place::of(text, offset), field: String::new(), what: format!("{error}{help}") }
}
