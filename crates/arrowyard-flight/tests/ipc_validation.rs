//! Validation of Arrow IPC messages: accepts what the library's encoder writes, and rejects malformed
//! messages.

use std::sync::Arc;

use arrow_array::builder::{ListBuilder, StringDictionaryBuilder, StringViewBuilder};
use arrow_array::types::Int32Type;
use arrow_array::{
    ArrayRef, BinaryArray, BooleanArray, Int32Array, Int64Array, LargeStringArray, RecordBatch, StringArray,
    StructArray,
};
use arrow_flight::FlightData;
use arrow_flight::encode::{DictionaryHandling, FlightDataEncoderBuilder};
use arrow_flight::error::FlightError;
use arrow_ipc::CompressionType;
use arrow_ipc::writer::IpcWriteOptions;
use arrow_schema::{DataType, Field, Schema};
use arrowyard_flight::ipc_validation::{InvalidMessage, IpcLimits, IpcValidator, MessageKind};
use futures::TryStreamExt;
use futures::executor::block_on;
use futures::stream;
use proptest::prelude::*;

const LIMITS: IpcLimits = IpcLimits { max_fields: 64, max_decompressed_bytes: 1 << 20 };

fn batch(rows: i32) -> RecordBatch {
    let numbers = Int32Array::from_iter((0..rows).map(|n| (n % 3 > 0).then_some(n)));
    let texts = StringArray::from_iter_values((0..rows).map(|n| "x".repeat(n as usize % 7)));
    let mut lists = ListBuilder::new(arrow_array::builder::Int64Builder::new());
    (0..rows).for_each(|n| lists.append_value((0..n % 4).map(|m| Some(i64::from(m)))));
    let mut words = StringDictionaryBuilder::<Int32Type>::new();
    (0..rows).for_each(|n| words.append_value(["a", "b"][n as usize % 2]));
    let mut views = StringViewBuilder::new();
    (0..rows).for_each(|n| {
        views.append_value("a text that is longer than a view holds ".repeat(1 + n as usize % 2))
    });
    let flags: ArrayRef = Arc::new(BooleanArray::from_iter((0..rows).map(|n| Some(n % 2 == 0))));
    let record = StructArray::from(vec![(Arc::new(Field::new("flag", DataType::Boolean, true)), flags)]);
    let columns: Vec<(&str, ArrayRef)> = vec![
        ("number", Arc::new(numbers)),
        ("text", Arc::new(texts)),
        ("list", Arc::new(lists.finish())),
        ("word", Arc::new(words.finish())),
        ("view", Arc::new(views.finish())),
        ("record", Arc::new(record)),
        ("long", Arc::new(Int64Array::from_iter_values((0..rows).map(i64::from)))),
        ("large", Arc::new(LargeStringArray::from_iter_values((0..rows).map(|n| n.to_string())))),
        ("bytes", Arc::new(BinaryArray::from_iter_values((0..rows).map(|n| [n as u8])))),
    ];
    RecordBatch::try_from_iter_with_nullable(columns.into_iter().map(|(name, column)| (name, column, true)))
        .expect("columns of equal length")
}

fn encoded(batches: Vec<RecordBatch>) -> Vec<FlightData> {
    let schema = batches[0].schema();
    let builder = FlightDataEncoderBuilder::new()
        .with_dictionary_handling(DictionaryHandling::Resend)
        .with_schema(schema);
    let encoder = builder.build(stream::iter(batches.into_iter().map(Ok::<_, FlightError>)));
    block_on(encoder.try_collect()).expect("batches of one schema")
}

/// Validates messages in their order.
fn check_all(messages: &[FlightData], limits: IpcLimits) -> Result<Vec<MessageKind>, InvalidMessage> {
    let mut validator = IpcValidator::new(limits);
    messages.iter().map(|data| validator.check(&data.data_header, &data.data_body)).collect()
}

#[test]
fn messages_of_the_library_are_accepted_and_their_rows_counted() {
    for rows in [0, 1, 3, 64, 1000] {
        let kinds = check_all(&encoded(vec![batch(rows), batch(rows)]), LIMITS).expect("valid messages");
        assert_eq!(kinds.first(), Some(&MessageKind::Schema));
        let counted: u64 =
            kinds.iter().map(|kind| if let MessageKind::Batch(rows) = kind { *rows } else { 0 }).sum();
        assert_eq!(counted, 2 * rows as u64, "{kinds:?}");
    }
}

#[test]
fn schema_dictionaries_and_batches_must_come_in_this_order() {
    let messages = encoded(vec![batch(5)]);
    let kinds = check_all(&messages, LIMITS).expect("valid messages");
    let position = |predicate: fn(&MessageKind) -> bool| {
        kinds.iter().position(predicate).expect("a message of this kind")
    };
    let dictionary = position(|kind| *kind == MessageKind::Dictionary);
    let first_batch = position(|kind| matches!(kind, MessageKind::Batch(_)));
    let check_without = |skipped: usize| {
        let remaining =
            messages.iter().enumerate().filter(|(n, _)| *n != skipped).map(|(_, data)| data.clone());
        check_all(&remaining.collect::<Vec<_>>(), LIMITS)
    };
    assert_eq!(check_without(0), Err(InvalidMessage("a dictionary before the schema")));
    assert_eq!(check_without(dictionary), Err(InvalidMessage("a batch before a dictionary that it needs")));
    let repeated_schema = [&messages[..], &messages[..1]].concat();
    assert_eq!(check_all(&repeated_schema, LIMITS), Err(InvalidMessage("a second schema")));
    // A batch with a different schema.
    let other = RecordBatch::try_from_iter([("number", Arc::new(Int32Array::from(vec![1])) as ArrayRef)])
        .expect("one column");
    let other_batch = encoded(vec![other]).pop().expect("a batch");
    let mixed = [&messages[..first_batch], &[other_batch]].concat();
    assert!(check_all(&mixed, LIMITS).is_err());
}

#[test]
fn truncated_bodies_and_wrong_lengths_are_rejected() {
    let messages = encoded(vec![batch(40)]);
    let last = messages.last().expect("a batch");
    let mut validator = IpcValidator::new(LIMITS);
    for data in &messages[..messages.len() - 1] {
        assert!(validator.check(&data.data_header, &data.data_body).is_ok());
    }
    let truncated_body = &last.data_body[..last.data_body.len() - 8];
    assert_eq!(
        validator.check(&last.data_header, truncated_body),
        Err(InvalidMessage("a body whose length differs from its header"))
    );
    // Offsets beyond the values of a text column.
    let texts =
        RecordBatch::try_from_iter([("text", Arc::new(StringArray::from(vec!["abc", "de"])) as ArrayRef)])
            .expect("one column");
    let mut messages = encoded(vec![texts]);
    let batch = messages.last_mut().expect("a batch");
    let mut body = batch.data_body.to_vec();
    let offset = body.windows(4).position(|bytes| bytes == 5_i32.to_le_bytes()).expect("the last offset");
    body[offset..offset + 4].copy_from_slice(&500_i32.to_le_bytes());
    batch.data_body = body.into();
    assert_eq!(check_all(&messages, LIMITS), Err(InvalidMessage("offsets beyond their buffer")));
}

#[test]
fn decompression_bombs_and_deeply_nested_schemas_are_rejected() {
    let options = IpcWriteOptions::default().try_with_compression(Some(CompressionType::LZ4_FRAME));
    let options = options.expect("the lz4 feature is enabled");
    let zeros: ArrayRef = Arc::new(Int64Array::from(vec![0; 1 << 18]));
    let batch = RecordBatch::try_from_iter([("zeros", zeros)]).expect("one column");
    let encoder = arrow_ipc::writer::IpcDataGenerator::default();
    let mut tracker = arrow_ipc::writer::DictionaryTracker::new(false);
    let schema: FlightData = arrow_flight::SchemaAsIpc::new(&batch.schema(), &options).into();
    let compressed = encoder.encode(&batch, &mut tracker, &options, &mut Default::default());
    let (_, compressed) = compressed.expect("the batch can be compressed");
    let messages = [schema, compressed.into()];
    assert!(messages[1].data_body.len() < 1 << 14, "compressed to {} bytes", messages[1].data_body.len());
    assert_eq!(
        check_all(&messages, LIMITS),
        Err(InvalidMessage("buffers whose decompressed size exceeds the limit"))
    );
    assert!(check_all(&messages, IpcLimits { max_decompressed_bytes: 1 << 24, ..LIMITS }).is_ok());
    let mut data_type = DataType::Int32;
    for _ in 0..40 {
        data_type = DataType::List(Arc::new(Field::new("item", data_type, true)));
    }
    let nested: FlightData = arrow_flight::SchemaAsIpc::new(
        &Schema::new(vec![Field::new("deep", data_type, true)]),
        &IpcWriteOptions::default(),
    )
    .into();
    assert_eq!(
        check_all(&[nested], LIMITS),
        Err(InvalidMessage("a schema with too many or too deeply nested fields"))
    );
}

/// A fixed seed, so that every run tests the same cases.
fn config() -> ProptestConfig {
    let rng_seed = proptest::test_runner::RngSeed::Fixed(20_261_204);
    ProptestConfig { rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    /// A changed byte must not cause a panic.
    #[test]
    fn one_changed_byte_does_not_panic(rows in 0_i32..20, index in 0_usize..4, position in any::<prop::sample::Index>(), value in any::<u8>(), in_body in any::<bool>()) {
        let mut messages = encoded(vec![batch(rows)]);
        let index = index % messages.len();
        let data = &mut messages[index];
        let bytes = if in_body { &mut data.data_body } else { &mut data.data_header };
        if !bytes.is_empty() {
            let mut changed = bytes.to_vec();
            let offset = position.index(changed.len());
            changed[offset] = value;
            *bytes = changed.into();
        }
        let _ = check_all(&messages, LIMITS);
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(header in prop::collection::vec(any::<u8>(), 0..200), body in prop::collection::vec(any::<u8>(), 0..64)) {
        let mut validator = IpcValidator::new(LIMITS);
        let _ = validator.check(&header, &body);
        let mut with_schema = IpcValidator::new(LIMITS);
        let schema = &encoded(vec![batch(1)])[0];
        prop_assert!(with_schema.check(&schema.data_header, &schema.data_body).is_ok());
        let _ = with_schema.check(&header, &body);
    }
}
