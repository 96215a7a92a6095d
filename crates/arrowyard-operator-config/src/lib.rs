//! The operator's own file: protobuf text format by the schema `proto/yardbook.proto`. It is read whole or refused
//! whole, and a refusal names every fault that was found, each with its line, its column, its field, and what
//! would be right. No I/O beyond reading the one file.

mod layout;
mod positions;
mod scan;
mod validate;

use std::fmt;
use std::path::Path;

use prost::Message;
use prost_reflect::{DescriptorPool, DynamicMessage, MessageDescriptor};

pub use layout::{cell_layout, lease_settings, peer_settings, startup_settings};
pub use positions::{FieldPositions, Position};
pub use validate::validate;

/// The types of the schema.
#[allow(clippy::derive_partial_eq_without_eq)]
pub mod schema {
    include!(concat!(env!("OUT_DIR"), "/arrowyard.yardbook.rs"));
}

pub use schema::Yardbook;

/// One thing that is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigError {
    pub position: Position,
    /// The field's path, as in `cells.cell[1].weight`; empty where there is none.
    pub field: String,
    /// What is wrong, and what would be right.
    pub message: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Position { line, column } = self.position;
        match self.field.as_str() {
            "" => write!(f, "{line}:{column}: {}", self.message),
            field => write!(f, "{line}:{column}: {field}: {}", self.message),
        }
    }
}

/// Bytes of a file at most: 100,000 tenants and a thousand cells fit many times over.
pub const MAX_FILE_BYTES: u64 = 64 * 1024 * 1024;

fn root() -> MessageDescriptor {
    let pool = DescriptorPool::decode(&include_bytes!(concat!(env!("OUT_DIR"), "/yardbook.bin"))[..]);
    let pool = pool.expect("the schema was compiled with this program");
    pool.get_message_by_name("arrowyard.yardbook.Yardbook").expect("the schema has its root")
}

/// Reads the text of a file; every fault of it, if there is one.
pub fn parse(text: &str) -> Result<Yardbook, Vec<ConfigError>> {
    let root = root();
    let (places, mut faults) = scan::scan(text, &root);
    if !faults.is_empty() {
        faults.sort();
        return Err(faults);
    }
    let message = DynamicMessage::parse_text_format(root, text);
    let message = message.map_err(|error| vec![positions::parse_error(text, &error)])?;
    let book = message.transcode_to::<Yardbook>().expect("both were made of one schema");
    let mut faults = validate(&book, &places);
    if faults.is_empty() {
        return Ok(book);
    }
    faults.sort();
    Err(faults)
}

/// Reads a file; its faults as one report, a line each, headed by the file's name.
///
/// # Errors
/// The report: the file cannot be read, is too large, is no text, or has faults.
pub fn load(path: &Path) -> Result<Yardbook, String> {
    let name = path.display();
    let size = std::fs::metadata(path).map_err(|error| format!("{name}: {error}"))?.len();
    if size > MAX_FILE_BYTES {
        return Err(format!("{name}: {size} bytes, and at most {MAX_FILE_BYTES} are read"));
    }
    let bytes = std::fs::read(path).map_err(|error| format!("{name}: {error}"))?;
    let text = String::from_utf8(bytes).map_err(|error| format!("{name}: not UTF-8 text: {error}"))?;
    parse(&text).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(|fault| format!("{name}:{fault}")).collect();
        lines.join("\n")
    })
}

/// The bytes of the book in protobuf's binary form, by which two books can be told apart.
pub fn fingerprint(book: &Yardbook) -> Vec<u8> {
    book.encode_to_vec()
}
