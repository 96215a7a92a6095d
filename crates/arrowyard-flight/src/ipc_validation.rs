//! Validates the Arrow IPC messages of a result: a schema, then dictionaries before the batches that need
//! them, then batches that match the schema. Reads message headers and offsets, but not the values.

use std::collections::{BTreeMap, BTreeSet};

use arrow_ipc::convert::try_fb_to_schema;
use arrow_ipc::{Message, MessageHeader, RecordBatch as BatchHeader, root_as_message};
use arrow_schema::{DataType, Field, IntervalUnit, Schema, UnionMode};

/// Why a result is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidMessage(pub &'static str);

/// The kind of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    Schema,
    Dictionary,
    /// A record batch with its number of rows.
    Batch(u64),
}

/// Limits on the messages of a result.
#[derive(Clone, Copy, Debug)]
pub struct IpcLimits {
    /// The fields of a schema, nested ones included.
    pub max_fields: usize,
    /// The bytes of the decompressed buffers of one message.
    pub max_decompressed_bytes: u64,
}

/// Validates the messages of one result in their order.
#[derive(Debug)]
pub struct IpcValidator {
    limits: IpcLimits,
    schema: Option<Schema>,
    /// The value types of the schema's dictionaries, by id.
    dictionary_types: BTreeMap<i64, DataType>,
    /// The ids of the dictionaries that were received.
    received_dictionaries: BTreeSet<i64>,
    rows: u64,
}

/// The maximum depth of nested types.
const MAX_DEPTH: usize = 32;

impl IpcValidator {
    /// Creates a validator for a new result.
    pub fn new(limits: IpcLimits) -> Self {
        let (dictionary_types, received_dictionaries) = Default::default();
        IpcValidator { limits, schema: None, dictionary_types, received_dictionaries, rows: 0 }
    }

    /// The rows received so far.
    pub fn rows(&self) -> u64 {
        self.rows
    }

    /// Whether the schema was received.
    pub fn has_schema(&self) -> bool {
        self.schema.is_some()
    }

    /// Validates the next message from its header and body.
    ///
    /// # Errors
    /// The message is malformed or contradicts an earlier one. No further message can be validated then.
    pub fn check(&mut self, header: &[u8], body: &[u8]) -> Result<MessageKind, InvalidMessage> {
        let message =
            root_as_message(header).map_err(|_| InvalidMessage("a message header that cannot be decoded"))?;
        if usize::try_from(message.bodyLength()) != Ok(body.len()) {
            return Err(InvalidMessage("a body whose length differs from its header"));
        }
        match message.header_type() {
            MessageHeader::Schema => self.check_schema(&message),
            MessageHeader::DictionaryBatch => self.check_dictionary(&message, body),
            MessageHeader::RecordBatch => self.check_batch(&message, body),
            _ => Err(InvalidMessage("a message that is neither a schema, a dictionary nor a batch")),
        }
    }

    fn check_schema(&mut self, message: &Message<'_>) -> Result<MessageKind, InvalidMessage> {
        if self.schema.is_some() {
            return Err(InvalidMessage("a second schema"));
        }
        let header = message.header_as_schema().ok_or(InvalidMessage("a schema message without a schema"))?;
        let mut field_count = 0;
        for field in header.fields().into_iter().flatten() {
            self.check_field(field, 0, &mut field_count)?;
        }
        let schema =
            try_fb_to_schema(header).map_err(|_| InvalidMessage("a schema that cannot be decoded"))?;
        // Dictionaries are in the order of the fields that need them.
        let mut types = Vec::new();
        schema.fields().iter().for_each(|field| collect_value_types(field.data_type(), &mut types));
        let mut ids = Vec::new();
        for field in header.fields().into_iter().flatten() {
            collect_dictionary_ids(field, &mut ids);
        }
        if ids.len() != types.len() {
            return Err(InvalidMessage("dictionary ids that do not match the fields"));
        }
        for (id, value_type) in ids.into_iter().zip(types) {
            let previous = self.dictionary_types.insert(id, value_type.clone());
            if previous.is_some_and(|previous| previous != value_type) {
                return Err(InvalidMessage("a dictionary with two value types"));
            }
        }
        self.schema = Some(schema);
        Ok(MessageKind::Schema)
    }

    /// Checks the depth and number of fields. A small schema could otherwise nest types without limit.
    fn check_field(
        &self,
        field: arrow_ipc::Field<'_>,
        depth: usize,
        count: &mut usize,
    ) -> Result<(), InvalidMessage> {
        *count += 1;
        if depth > MAX_DEPTH || *count > self.limits.max_fields {
            return Err(InvalidMessage("a schema with too many or too deeply nested fields"));
        }
        for child in field.children().into_iter().flatten() {
            self.check_field(child, depth + 1, count)?;
        }
        Ok(())
    }

    fn check_dictionary(
        &mut self,
        message: &Message<'_>,
        body: &[u8],
    ) -> Result<MessageKind, InvalidMessage> {
        if self.schema.is_none() {
            return Err(InvalidMessage("a dictionary before the schema"));
        }
        let header = message
            .header_as_dictionary_batch()
            .ok_or(InvalidMessage("a dictionary message without a dictionary"))?;
        let value_type = self
            .dictionary_types
            .get(&header.id())
            .ok_or(InvalidMessage("a dictionary that no field uses"))?;
        if header.isDelta() && !self.received_dictionaries.contains(&header.id()) {
            return Err(InvalidMessage("a delta to a dictionary that was not received"));
        }
        let data = header.data().ok_or(InvalidMessage("a dictionary without values"))?;
        BatchReader::new(&data, body, self.limits)?.check_columns(data.length(), [value_type].into_iter())?;
        self.received_dictionaries.insert(header.id());
        Ok(MessageKind::Dictionary)
    }

    fn check_batch(&mut self, message: &Message<'_>, body: &[u8]) -> Result<MessageKind, InvalidMessage> {
        let Some(schema) = &self.schema else { return Err(InvalidMessage("a batch before the schema")) };
        // Otherwise the client would resolve keys against a missing or an outdated dictionary.
        if !self.dictionary_types.keys().all(|id| self.received_dictionaries.contains(id)) {
            return Err(InvalidMessage("a batch before a dictionary that it needs"));
        }
        let header =
            message.header_as_record_batch().ok_or(InvalidMessage("a batch message without a batch"))?;
        let types = schema.fields().iter().map(|field| field.data_type());
        BatchReader::new(&header, body, self.limits)?.check_columns(header.length(), types)?;
        let rows = header.length() as u64;
        self.rows = self.rows.saturating_add(rows);
        Ok(MessageKind::Batch(rows))
    }
}

/// Collects the value types of dictionaries in the order of the fields, outer ones first.
fn collect_value_types(data_type: &DataType, value_types: &mut Vec<DataType>) {
    if let DataType::Dictionary(_, value_type) = data_type {
        value_types.push((**value_type).clone());
        collect_value_types(value_type, value_types);
        return;
    }
    children(data_type).iter().for_each(|child| collect_value_types(child.data_type(), value_types));
}

/// Collects the ids of dictionaries in the same order as `collect_value_types`.
fn collect_dictionary_ids(field: arrow_ipc::Field<'_>, ids: &mut Vec<i64>) {
    if let Some(dictionary) = field.dictionary() {
        ids.push(dictionary.id());
    }
    for child in field.children().into_iter().flatten() {
        collect_dictionary_ids(child, ids);
    }
}

/// The child fields of a nested type.
fn children(data_type: &DataType) -> Vec<&Field> {
    match data_type {
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

/// Reads the nodes and buffers of one batch in the order of its column types.
struct BatchReader<'a> {
    /// The length of each field node.
    nodes: Vec<i64>,
    /// The part of the body of each buffer.
    buffers: Vec<&'a [u8]>,
    compressed: bool,
    /// The number of data buffers of each view column.
    variadic_counts: Vec<i64>,
    next_node: usize,
    next_buffer: usize,
    next_variadic: usize,
}

const BITS_PER_BYTE: u64 = 8;

impl<'a> BatchReader<'a> {
    fn new(header: &BatchHeader<'_>, body: &'a [u8], limits: IpcLimits) -> Result<Self, InvalidMessage> {
        let compressed = header.compression().is_some();
        let nodes = header.nodes().into_iter().flatten().map(|node| node.length()).collect::<Vec<_>>();
        if nodes.iter().any(|&length| length < 0) {
            return Err(InvalidMessage("a negative length"));
        }
        let mut buffers = Vec::new();
        let mut decompressed_bytes = 0_u64;
        for buffer in header.buffers().into_iter().flatten() {
            let range = usize::try_from(buffer.offset()).ok().zip(usize::try_from(buffer.length()).ok());
            let range = range.and_then(|(start, length)| Some(start..start.checked_add(length)?));
            // A reader of a buffer beyond the body would panic or read out of bounds.
            let bytes =
                range.and_then(|range| body.get(range)).ok_or(InvalidMessage("a buffer beyond the body"))?;
            decompressed_bytes = decompressed_bytes.saturating_add(decompressed_length(bytes, compressed)?);
            buffers.push(bytes);
        }
        // A decompression bomb would exhaust the client's memory.
        if decompressed_bytes > limits.max_decompressed_bytes {
            return Err(InvalidMessage("buffers whose decompressed size exceeds the limit"));
        }
        let variadic_counts = header.variadicBufferCounts().into_iter().flatten().collect();
        Ok(BatchReader {
            nodes,
            buffers,
            compressed,
            variadic_counts,
            next_node: 0,
            next_buffer: 0,
            next_variadic: 0,
        })
    }

    /// Checks that each column has the batch's rows, and that no node or buffer is left over.
    fn check_columns<'t>(
        mut self,
        rows: i64,
        types: impl Iterator<Item = &'t DataType>,
    ) -> Result<(), InvalidMessage> {
        if rows < 0 {
            return Err(InvalidMessage("a negative length"));
        }
        for data_type in types {
            if self.check_column(data_type, 0)? != rows as u64 {
                return Err(InvalidMessage("a column whose length differs from its batch"));
            }
        }
        if self.next_node != self.nodes.len()
            || self.next_buffer != self.buffers.len()
            || self.next_variadic != self.variadic_counts.len()
        {
            return Err(InvalidMessage("more columns or buffers than the schema needs"));
        }
        Ok(())
    }

    fn next_buffer(&mut self) -> Result<&'a [u8], InvalidMessage> {
        let bytes = self
            .buffers
            .get(self.next_buffer)
            .ok_or(InvalidMessage("fewer buffers than the schema needs"))?;
        self.next_buffer += 1;
        Ok(bytes)
    }

    /// The next buffer, which must have at least `min_len` bytes.
    fn sized_buffer(&mut self, min_len: u64) -> Result<&'a [u8], InvalidMessage> {
        let bytes = self.next_buffer()?;
        if decompressed_length(bytes, self.compressed)? < min_len {
            return Err(InvalidMessage("a buffer too short for its rows"));
        }
        Ok(bytes)
    }

    /// Checks the validity bitmap, which may be empty if no row is null.
    fn check_validity(&mut self, rows: u64) -> Result<(), InvalidMessage> {
        let bytes = self.next_buffer()?;
        if !bytes.is_empty() && decompressed_length(bytes, self.compressed)? < rows.div_ceil(BITS_PER_BYTE) {
            return Err(InvalidMessage("a buffer too short for its rows"));
        }
        Ok(())
    }

    /// Checks the offsets of `rows` rows with `width` bytes each. Returns the last offset, or `None` if the
    /// offsets are compressed.
    fn check_offsets(&mut self, rows: u64, width: u64) -> Result<Option<u64>, InvalidMessage> {
        if rows == 0 {
            self.next_buffer()?;
            return Ok(Some(0));
        }
        let bytes = self.sized_buffer(rows.saturating_add(1).saturating_mul(width))?;
        if self.compressed {
            return Ok(None);
        }
        let offset = |row: u64| {
            let start = (row * width) as usize;
            match width {
                4 => i32::from_le_bytes(bytes[start..start + 4].try_into().expect("four bytes")).into(),
                _ => i64::from_le_bytes(bytes[start..start + 8].try_into().expect("eight bytes")),
            }
        };
        let (first_offset, last_offset) = (offset(0), offset(rows));
        if first_offset < 0 || last_offset < first_offset {
            return Err(InvalidMessage("offsets that are negative or decrease"));
        }
        Ok(Some(last_offset as u64))
    }

    /// Checks the offsets and the values of a column of variable length.
    fn check_variable_length(&mut self, rows: u64, width: u64) -> Result<(), InvalidMessage> {
        let last_offset = self.check_offsets(rows, width)?;
        let bytes = self.next_buffer()?;
        if last_offset.is_some_and(|last_offset| last_offset > bytes.len() as u64) {
            return Err(InvalidMessage("offsets beyond their buffer"));
        }
        Ok(())
    }

    /// Checks one column and returns its number of rows.
    fn check_column(&mut self, data_type: &DataType, depth: usize) -> Result<u64, InvalidMessage> {
        let rows =
            *self.nodes.get(self.next_node).ok_or(InvalidMessage("fewer columns than the schema needs"))?
                as u64;
        self.next_node += 1;
        let fixed_width = |bytes: u64| rows.saturating_mul(bytes);
        match data_type {
            DataType::Null => {}
            DataType::Union(fields, mode) => {
                self.sized_buffer(rows)?;
                if *mode == UnionMode::Dense {
                    self.sized_buffer(fixed_width(4))?;
                }
                for (_, field) in fields.iter() {
                    let child_rows = self.check_column(field.data_type(), depth + 1)?;
                    if *mode == UnionMode::Sparse && child_rows < rows {
                        return Err(InvalidMessage("a child column whose length does not match its parent"));
                    }
                }
            }
            DataType::RunEndEncoded(ends, values) => {
                let runs = self.check_column(ends.data_type(), depth + 1)?;
                if self.check_column(values.data_type(), depth + 1)? != runs {
                    return Err(InvalidMessage("a child column whose length does not match its parent"));
                }
            }
            data_type => {
                self.check_validity(rows)?;
                self.check_values(data_type, rows, depth)?;
            }
        }
        Ok(rows)
    }

    /// Checks the buffers and children of a column after its validity bitmap.
    fn check_values(&mut self, data_type: &DataType, rows: u64, depth: usize) -> Result<(), InvalidMessage> {
        let fixed_width = |bytes: u64| rows.saturating_mul(bytes);
        match data_type {
            DataType::Boolean => {
                self.sized_buffer(rows.div_ceil(BITS_PER_BYTE))?;
            }
            DataType::FixedSizeBinary(width) => {
                self.sized_buffer(fixed_width(u64::try_from(*width).unwrap_or(u64::MAX)))?;
            }
            DataType::Utf8 | DataType::Binary => self.check_variable_length(rows, 4)?,
            DataType::LargeUtf8 | DataType::LargeBinary => self.check_variable_length(rows, 8)?,
            DataType::Utf8View | DataType::BinaryView => {
                self.sized_buffer(fixed_width(16))?;
                let buffer_count = *self
                    .variadic_counts
                    .get(self.next_variadic)
                    .ok_or(InvalidMessage("fewer buffers than the schema needs"))?;
                self.next_variadic += 1;
                for _ in 0..buffer_count.max(0) {
                    self.next_buffer()?;
                }
            }
            DataType::List(child) | DataType::Map(child, _) => self.check_list(child, rows, 4, depth)?,
            DataType::LargeList(child) => self.check_list(child, rows, 8, depth)?,
            DataType::ListView(child) | DataType::LargeListView(child) => {
                let width = if matches!(data_type, DataType::ListView(_)) { 4 } else { 8 };
                self.sized_buffer(fixed_width(width))?;
                self.sized_buffer(fixed_width(width))?;
                self.check_column(child.data_type(), depth + 1)?;
            }
            DataType::FixedSizeList(child, length) => {
                let min_len = fixed_width(u64::try_from(*length).unwrap_or(u64::MAX));
                if self.check_column(child.data_type(), depth + 1)? < min_len {
                    return Err(InvalidMessage("a child column whose length does not match its parent"));
                }
            }
            DataType::Struct(fields) => {
                for field in fields {
                    if self.check_column(field.data_type(), depth + 1)? < rows {
                        return Err(InvalidMessage("a child column whose length does not match its parent"));
                    }
                }
            }
            DataType::Dictionary(key, _) => self.check_values(key, rows, depth)?,
            DataType::Interval(unit) => {
                let width = match unit {
                    IntervalUnit::YearMonth => 4,
                    IntervalUnit::DayTime => 8,
                    IntervalUnit::MonthDayNano => 16,
                };
                self.sized_buffer(fixed_width(width))?;
            }
            data_type => {
                let width = data_type.primitive_width().ok_or(InvalidMessage("an unsupported type"))?;
                self.sized_buffer(fixed_width(width as u64))?;
            }
        }
        Ok(())
    }

    /// Checks the offsets and the child column of a list column.
    fn check_list(
        &mut self,
        child: &Field,
        rows: u64,
        width: u64,
        depth: usize,
    ) -> Result<(), InvalidMessage> {
        let last_offset = self.check_offsets(rows, width)?;
        let child_rows = self.check_column(child.data_type(), depth + 1)?;
        if last_offset.is_some_and(|last_offset| last_offset > child_rows) {
            return Err(InvalidMessage("offsets beyond their buffer"));
        }
        Ok(())
    }
}

/// The length of a buffer once it is decompressed. A compressed buffer starts with that length, or with -1
/// if it is stored uncompressed.
fn decompressed_length(bytes: &[u8], compressed: bool) -> Result<u64, InvalidMessage> {
    if !compressed || bytes.is_empty() {
        return Ok(bytes.len() as u64);
    }
    let Some((prefix, rest)) = bytes.split_first_chunk::<8>() else {
        return Err(InvalidMessage("a compressed buffer without its length"));
    };
    match i64::from_le_bytes(*prefix) {
        -1 => Ok(rest.len() as u64),
        length => u64::try_from(length).map_err(|_| InvalidMessage("a negative length")),
    }
}
