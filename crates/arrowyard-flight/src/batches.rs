//! What a result may be made of: a schema, then dictionaries before what needs them, then batches that fit the schema,
//! as Arrow's IPC format lays them out. Only the heads of messages and the ends of offsets are read; the values pass
//! as they are.

use std::collections::{BTreeMap, BTreeSet};

use arrow_ipc::convert::try_fb_to_schema;
use arrow_ipc::{Message, MessageHeader, RecordBatch as Head, root_as_message};
use arrow_schema::{DataType, Field, IntervalUnit, Schema, UnionMode};

/// Why a result makes no sense.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spoilt(pub &'static str);

/// What a message is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Schema,
    Dictionary,
    /// With so many rows.
    Batch(u64),
}

/// Bounds of a result.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Fields of a schema, with those within others.
    pub fields: usize,
    /// Bytes that the buffers of one message take once they are unpacked.
    pub unpacked: u64,
}

/// Reads one result's messages in their order.
#[derive(Debug)]
pub struct Checker {
    bounds: Bounds,
    schema: Option<Schema>,
    /// The values' type by dictionary, and those that have come.
    dictionaries: BTreeMap<i64, DataType>,
    come: BTreeSet<i64>,
    rows: u64,
}

/// A depth of types within types that no table has.
const DEEPEST: usize = 32;

impl Checker {
    pub fn new(bounds: Bounds) -> Self {
        let (dictionaries, come) = Default::default();
        Checker { bounds, schema: None, dictionaries, come, rows: 0 }
    }

    /// Rows that have come.
    pub fn rows(&self) -> u64 {
        self.rows
    }

    pub fn has_schema(&self) -> bool {
        self.schema.is_some()
    }

    /// Takes the next message: its head and its body.
    ///
    /// # Errors
    /// It contradicts itself or what came before it. Nothing after it can be read then.
    pub fn take(&mut self, head: &[u8], body: &[u8]) -> Result<Kind, Spoilt> {
        let message = root_as_message(head).map_err(|_| Spoilt("a head that cannot be read"))?;
        if usize::try_from(message.bodyLength()) != Ok(body.len()) {
            return Err(Spoilt("a body of another length than its head says"));
        }
        match message.header_type() {
            MessageHeader::Schema => self.schema(&message),
            MessageHeader::DictionaryBatch => self.dictionary(&message, body),
            MessageHeader::RecordBatch => self.batch(&message, body),
            _ => Err(Spoilt("a message that is neither schema, dictionary nor batch")),
        }
    }

    fn schema(&mut self, message: &Message<'_>) -> Result<Kind, Spoilt> {
        if self.schema.is_some() {
            return Err(Spoilt("a second schema"));
        }
        let told = message.header_as_schema().ok_or(Spoilt("a schema that is none"))?;
        let mut fields = 0;
        for field in told.fields().into_iter().flatten() {
            self.field(field, 0, &mut fields)?;
        }
        let schema = try_fb_to_schema(told).map_err(|_| Spoilt("a schema that cannot be read"))?;
        // The order of dictionaries is that of the fields that need them.
        let mut types = Vec::new();
        schema.fields().iter().for_each(|field| values(field.data_type(), &mut types));
        let mut ids = Vec::new();
        for field in told.fields().into_iter().flatten() {
            dictionary_ids(field, &mut ids);
        }
        if ids.len() != types.len() {
            return Err(Spoilt("dictionaries that no field needs"));
        }
        for (id, kind) in ids.into_iter().zip(types) {
            let known = self.dictionaries.insert(id, kind.clone());
            if known.is_some_and(|known| known != kind) {
                return Err(Spoilt("one dictionary of two types"));
            }
        }
        self.schema = Some(schema);
        Ok(Kind::Schema)
    }

    /// Danger: a schema of a few bytes that names types within types without end.
    fn field(&self, field: arrow_ipc::Field<'_>, depth: usize, count: &mut usize) -> Result<(), Spoilt> {
        *count += 1;
        if depth > DEEPEST || *count > self.bounds.fields {
            return Err(Spoilt("a schema larger than any table's"));
        }
        for child in field.children().into_iter().flatten() {
            self.field(child, depth + 1, count)?;
        }
        Ok(())
    }

    fn dictionary(&mut self, message: &Message<'_>, body: &[u8]) -> Result<Kind, Spoilt> {
        if self.schema.is_none() {
            return Err(Spoilt("a dictionary before the schema"));
        }
        let told = message.header_as_dictionary_batch().ok_or(Spoilt("a dictionary that is none"))?;
        let kind = self.dictionaries.get(&told.id()).ok_or(Spoilt("a dictionary that no field needs"))?;
        if told.isDelta() && !self.come.contains(&told.id()) {
            return Err(Spoilt("an addition to a dictionary that has not come"));
        }
        let data = told.data().ok_or(Spoilt("a dictionary without values"))?;
        Walk::new(&data, body, self.bounds)?.whole(data.length(), [kind].into_iter())?;
        self.come.insert(told.id());
        Ok(Kind::Dictionary)
    }

    fn batch(&mut self, message: &Message<'_>, body: &[u8]) -> Result<Kind, Spoilt> {
        let Some(schema) = &self.schema else { return Err(Spoilt("a batch before the schema")) };
        // Danger: dictionaries out of order leave the client with keys of nothing, or of what was there before.
        if !self.dictionaries.keys().all(|id| self.come.contains(id)) {
            return Err(Spoilt("a batch before a dictionary that it needs"));
        }
        let told = message.header_as_record_batch().ok_or(Spoilt("a batch that is none"))?;
        let kinds = schema.fields().iter().map(|field| field.data_type());
        Walk::new(&told, body, self.bounds)?.whole(told.length(), kinds)?;
        let rows = told.length() as u64;
        self.rows = self.rows.saturating_add(rows);
        Ok(Kind::Batch(rows))
    }
}

/// The types of dictionaries' values, outer ones first.
fn values(kind: &DataType, found: &mut Vec<DataType>) {
    if let DataType::Dictionary(_, inner) = kind {
        found.push((**inner).clone());
        values(inner, found);
        return;
    }
    children(kind).iter().for_each(|child| values(child.data_type(), found));
}

fn dictionary_ids(field: arrow_ipc::Field<'_>, found: &mut Vec<i64>) {
    if let Some(dictionary) = field.dictionary() {
        found.push(dictionary.id());
    }
    for child in field.children().into_iter().flatten() {
        dictionary_ids(child, found);
    }
}

fn children(kind: &DataType) -> Vec<&Field> {
    match kind {
        DataType::List(child)
        | DataType::LargeList(child)
        | DataType::ListView(child)
        | DataType::LargeListView(child)
        | DataType::FixedSizeList(child, _)
        | DataType::Map(child, _) => vec![child],
        DataType::Struct(fields) => fields.iter().map(|field| &**field).collect(),
        DataType::Union(fields, _) => fields.iter().map(|(_, field)| &**field).collect(),
        DataType::RunEndEncoded(ends, values) => vec![ends, values],
        _ => Vec::new(),
    }
}

/// Walks one batch's nodes and buffers beside the types.
struct Walk<'a> {
    nodes: Vec<i64>,
    /// Of each buffer where it lies in the body.
    buffers: Vec<&'a [u8]>,
    packed: bool,
    variadic: Vec<i64>,
    node: usize,
    buffer: usize,
    view: usize,
}

const BITS: u64 = 8;

impl<'a> Walk<'a> {
    fn new(told: &Head<'_>, body: &'a [u8], bounds: Bounds) -> Result<Self, Spoilt> {
        let packed = told.compression().is_some();
        let nodes = told.nodes().into_iter().flatten().map(|node| node.length()).collect::<Vec<_>>();
        if nodes.iter().any(|&length| length < 0) {
            return Err(Spoilt("a negative length"));
        }
        let mut buffers = Vec::new();
        let mut unpacked = 0_u64;
        for buffer in told.buffers().into_iter().flatten() {
            let range = usize::try_from(buffer.offset()).ok().zip(usize::try_from(buffer.length()).ok());
            let range = range.and_then(|(from, length)| Some(from..from.checked_add(length)?));
            // Danger: a buffer that ends behind the body is read from somebody else's memory, or ends the reader.
            let bytes = range.and_then(|range| body.get(range)).ok_or(Spoilt("a buffer beyond the body"))?;
            unpacked = unpacked.saturating_add(length(bytes, packed)?);
            buffers.push(bytes);
        }
        // Danger: a few bytes that unpack into more than the client's memory.
        if unpacked > bounds.unpacked {
            return Err(Spoilt("buffers that unpack into more than is passed on"));
        }
        let variadic = told.variadicBufferCounts().into_iter().flatten().collect();
        Ok(Walk { nodes, buffers, packed, variadic, node: 0, buffer: 0, view: 0 })
    }

    /// The whole batch: each column has its rows, and nothing is left over.
    fn whole<'t>(mut self, rows: i64, kinds: impl Iterator<Item = &'t DataType>) -> Result<(), Spoilt> {
        if rows < 0 {
            return Err(Spoilt("a negative length"));
        }
        for kind in kinds {
            if self.column(kind, 0)? != rows as u64 {
                return Err(Spoilt("a column of another length than its batch"));
            }
        }
        if self.node != self.nodes.len()
            || self.buffer != self.buffers.len()
            || self.view != self.variadic.len()
        {
            return Err(Spoilt("more columns than the schema has"));
        }
        Ok(())
    }

    fn next(&mut self) -> Result<&'a [u8], Spoilt> {
        let bytes = self.buffers.get(self.buffer).ok_or(Spoilt("fewer buffers than the schema needs"))?;
        self.buffer += 1;
        Ok(bytes)
    }

    /// A buffer of at least so many bytes; of none where there are no rows.
    fn sized(&mut self, least: u64) -> Result<&'a [u8], Spoilt> {
        let bytes = self.next()?;
        if length(bytes, self.packed)? < least {
            return Err(Spoilt("a buffer shorter than its rows"));
        }
        Ok(bytes)
    }

    /// Which of the rows are null; left out where none is.
    fn validity(&mut self, rows: u64) -> Result<(), Spoilt> {
        let bytes = self.next()?;
        if !bytes.is_empty() && length(bytes, self.packed)? < rows.div_ceil(BITS) {
            return Err(Spoilt("a buffer shorter than its rows"));
        }
        Ok(())
    }

    /// Offsets of so many rows, `wide` bytes each; where the last one ends, if that can be read.
    fn offsets(&mut self, rows: u64, wide: u64) -> Result<Option<u64>, Spoilt> {
        if rows == 0 {
            self.next()?;
            return Ok(Some(0));
        }
        let bytes = self.sized(rows.saturating_add(1).saturating_mul(wide))?;
        if self.packed {
            return Ok(None);
        }
        let at = |row: u64| {
            let from = (row * wide) as usize;
            match wide {
                4 => i32::from_le_bytes(bytes[from..from + 4].try_into().expect("four bytes")).into(),
                _ => i64::from_le_bytes(bytes[from..from + 8].try_into().expect("eight bytes")),
            }
        };
        let (first, last) = (at(0), at(rows));
        if first < 0 || last < first {
            return Err(Spoilt("offsets that go back"));
        }
        Ok(Some(last as u64))
    }

    fn bytes_of(&mut self, rows: u64, wide: u64) -> Result<(), Spoilt> {
        let end = self.offsets(rows, wide)?;
        let bytes = self.next()?;
        if end.is_some_and(|end| end > bytes.len() as u64) {
            return Err(Spoilt("offsets beyond their buffer"));
        }
        Ok(())
    }

    /// One column; how many rows it has.
    fn column(&mut self, kind: &DataType, depth: usize) -> Result<u64, Spoilt> {
        let rows = *self.nodes.get(self.node).ok_or(Spoilt("fewer columns than the schema has"))? as u64;
        self.node += 1;
        let fixed = |bytes: u64| rows.saturating_mul(bytes);
        match kind {
            DataType::Null => {}
            DataType::Union(fields, mode) => {
                self.sized(rows)?;
                if *mode == UnionMode::Dense {
                    self.sized(fixed(4))?;
                }
                for (_, field) in fields.iter() {
                    let held = self.column(field.data_type(), depth + 1)?;
                    if *mode == UnionMode::Sparse && held < rows {
                        return Err(Spoilt("a child shorter than its rows"));
                    }
                }
            }
            DataType::RunEndEncoded(ends, values) => {
                let runs = self.column(ends.data_type(), depth + 1)?;
                if self.column(values.data_type(), depth + 1)? != runs {
                    return Err(Spoilt("a child shorter than its rows"));
                }
            }
            kind => {
                self.validity(rows)?;
                self.values(kind, rows, depth)?;
            }
        }
        Ok(rows)
    }

    fn values(&mut self, kind: &DataType, rows: u64, depth: usize) -> Result<(), Spoilt> {
        let fixed = |bytes: u64| rows.saturating_mul(bytes);
        match kind {
            DataType::Boolean => {
                self.sized(rows.div_ceil(BITS))?;
            }
            DataType::FixedSizeBinary(wide) => {
                self.sized(fixed(u64::try_from(*wide).unwrap_or(u64::MAX)))?;
            }
            DataType::Utf8 | DataType::Binary => self.bytes_of(rows, 4)?,
            DataType::LargeUtf8 | DataType::LargeBinary => self.bytes_of(rows, 8)?,
            DataType::Utf8View | DataType::BinaryView => {
                self.sized(fixed(16))?;
                let more =
                    *self.variadic.get(self.view).ok_or(Spoilt("fewer buffers than the schema needs"))?;
                self.view += 1;
                for _ in 0..more.max(0) {
                    self.next()?;
                }
            }
            DataType::List(child) | DataType::Map(child, _) => self.list(child, rows, 4, depth)?,
            DataType::LargeList(child) => self.list(child, rows, 8, depth)?,
            DataType::ListView(child) | DataType::LargeListView(child) => {
                let wide = if matches!(kind, DataType::ListView(_)) { 4 } else { 8 };
                self.sized(fixed(wide))?;
                self.sized(fixed(wide))?;
                self.column(child.data_type(), depth + 1)?;
            }
            DataType::FixedSizeList(child, each) => {
                let least = fixed(u64::try_from(*each).unwrap_or(u64::MAX));
                if self.column(child.data_type(), depth + 1)? < least {
                    return Err(Spoilt("a child shorter than its rows"));
                }
            }
            DataType::Struct(fields) => {
                for field in fields {
                    if self.column(field.data_type(), depth + 1)? < rows {
                        return Err(Spoilt("a child shorter than its rows"));
                    }
                }
            }
            DataType::Dictionary(key, _) => self.values(key, rows, depth)?,
            DataType::Interval(unit) => {
                let wide = match unit {
                    IntervalUnit::YearMonth => 4,
                    IntervalUnit::DayTime => 8,
                    IntervalUnit::MonthDayNano => 16,
                };
                self.sized(fixed(wide))?;
            }
            kind => {
                let wide = kind.primitive_width().ok_or(Spoilt("a type that is not known"))?;
                self.sized(fixed(wide as u64))?;
            }
        }
        Ok(())
    }

    fn list(&mut self, child: &Field, rows: u64, wide: u64, depth: usize) -> Result<(), Spoilt> {
        let end = self.offsets(rows, wide)?;
        let held = self.column(child.data_type(), depth + 1)?;
        if end.is_some_and(|end| end > held) {
            return Err(Spoilt("offsets beyond their buffer"));
        }
        Ok(())
    }
}

/// The bytes of a buffer once it is unpacked. A packed one begins with their number, or with -1 where it was left as
/// it is.
fn length(bytes: &[u8], packed: bool) -> Result<u64, Spoilt> {
    if !packed || bytes.is_empty() {
        return Ok(bytes.len() as u64);
    }
    let Some((told, rest)) = bytes.split_first_chunk::<8>() else {
        return Err(Spoilt("a packed buffer without its length"));
    };
    match i64::from_le_bytes(*told) {
        -1 => Ok(rest.len() as u64),
        told => u64::try_from(told).map_err(|_| Spoilt("a negative length")),
    }
}
