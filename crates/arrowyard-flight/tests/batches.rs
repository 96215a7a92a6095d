//! What a result may be made of: all that the library's encoder makes passes, and what is spoilt does not.

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
use arrowyard_flight::batches::{Bounds, Checker, Kind, Spoilt};
use futures::TryStreamExt;
use futures::executor::block_on;
use futures::stream;
use proptest::prelude::*;

const BOUNDS: Bounds = Bounds { fields: 64, unpacked: 1 << 20 };

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
    let inner: ArrayRef = Arc::new(BooleanArray::from_iter((0..rows).map(|n| Some(n % 2 == 0))));
    let record = StructArray::from(vec![(Arc::new(Field::new("flag", DataType::Boolean, true)), inner)]);
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
        .expect("they are of one length")
}

fn encoded(batches: Vec<RecordBatch>) -> Vec<FlightData> {
    let schema = batches[0].schema();
    let builder = FlightDataEncoderBuilder::new()
        .with_dictionary_handling(DictionaryHandling::Resend)
        .with_schema(schema);
    let flow = builder.build(stream::iter(batches.into_iter().map(Ok::<_, FlightError>)));
    block_on(flow.try_collect()).expect("they are of one schema")
}

fn read(all: &[FlightData], bounds: Bounds) -> Result<Vec<Kind>, Spoilt> {
    let mut checker = Checker::new(bounds);
    all.iter().map(|data| checker.take(&data.data_header, &data.data_body)).collect()
}

#[test]
fn what_the_library_writes_passes_with_its_rows() {
    for rows in [0, 1, 3, 64, 1000] {
        let kinds = read(&encoded(vec![batch(rows), batch(rows)]), BOUNDS).expect("it is whole");
        assert_eq!(kinds.first(), Some(&Kind::Schema));
        let counted: u64 =
            kinds.iter().map(|kind| if let Kind::Batch(rows) = kind { *rows } else { 0 }).sum();
        assert_eq!(counted, 2 * rows as u64, "{kinds:?}");
    }
}

#[test]
fn order_is_kept_schema_then_dictionaries_then_batches() {
    let all = encoded(vec![batch(5)]);
    let kinds = read(&all, BOUNDS).expect("it is whole");
    let at = |wanted: fn(&Kind) -> bool| kinds.iter().position(wanted).expect("it is there");
    let dictionary = at(|kind| *kind == Kind::Dictionary);
    let rows = at(|kind| matches!(kind, Kind::Batch(_)));
    let without = |left_out: usize| {
        let kept = all.iter().enumerate().filter(|(n, _)| *n != left_out).map(|(_, data)| data.clone());
        read(&kept.collect::<Vec<_>>(), BOUNDS)
    };
    assert_eq!(without(0), Err(Spoilt("a dictionary before the schema")));
    assert_eq!(without(dictionary), Err(Spoilt("a batch before a dictionary that it needs")));
    let twice = [&all[..], &all[..1]].concat();
    assert_eq!(read(&twice, BOUNDS), Err(Spoilt("a second schema")));
    // A batch of another schema.
    let other = RecordBatch::try_from_iter([("number", Arc::new(Int32Array::from(vec![1])) as ArrayRef)])
        .expect("one column");
    let foreign = encoded(vec![other]).pop().expect("a batch");
    let mixed = [&all[..rows], &[foreign]].concat();
    assert!(read(&mixed, BOUNDS).is_err());
}

#[test]
fn bodies_that_are_cut_or_lengths_that_lie_are_spoilt() {
    let all = encoded(vec![batch(40)]);
    let last = all.last().expect("a batch");
    let mut checker = Checker::new(BOUNDS);
    for data in &all[..all.len() - 1] {
        assert!(checker.take(&data.data_header, &data.data_body).is_ok());
    }
    let short = &last.data_body[..last.data_body.len() - 8];
    assert_eq!(
        checker.take(&last.data_header, short),
        Err(Spoilt("a body of another length than its head says"))
    );
    // Offsets of a text column that go beyond it.
    let texts =
        RecordBatch::try_from_iter([("text", Arc::new(StringArray::from(vec!["abc", "de"])) as ArrayRef)])
            .expect("one column");
    let mut all = encoded(vec![texts]);
    let batch = all.last_mut().expect("a batch");
    let mut body = batch.data_body.to_vec();
    let end = body.windows(4).position(|bytes| bytes == 5_i32.to_le_bytes()).expect("the last offset");
    body[end..end + 4].copy_from_slice(&500_i32.to_le_bytes());
    batch.data_body = body.into();
    assert_eq!(read(&all, BOUNDS), Err(Spoilt("offsets beyond their buffer")));
}

#[test]
fn a_bomb_and_a_schema_without_end_are_refused_unread() {
    let options = IpcWriteOptions::default().try_with_compression(Some(CompressionType::LZ4_FRAME));
    let options = options.expect("the feature is there");
    let zeros: ArrayRef = Arc::new(Int64Array::from(vec![0; 1 << 18]));
    let batch = RecordBatch::try_from_iter([("zeros", zeros)]).expect("one column");
    let encoder = arrow_ipc::writer::IpcDataGenerator::default();
    let mut tracker = arrow_ipc::writer::DictionaryTracker::new(false);
    let schema: FlightData = arrow_flight::SchemaAsIpc::new(&batch.schema(), &options).into();
    let packed = encoder.encode(&batch, &mut tracker, &options, &mut Default::default());
    let (_, packed) = packed.expect("it can be packed");
    let all = [schema, packed.into()];
    assert!(all[1].data_body.len() < 1 << 14, "a few bytes: {}", all[1].data_body.len());
    assert_eq!(read(&all, BOUNDS), Err(Spoilt("buffers that unpack into more than is passed on")));
    assert!(read(&all, Bounds { unpacked: 1 << 24, ..BOUNDS }).is_ok());
    let mut kind = DataType::Int32;
    for _ in 0..40 {
        kind = DataType::List(Arc::new(Field::new("item", kind, true)));
    }
    let deep: FlightData = arrow_flight::SchemaAsIpc::new(
        &Schema::new(vec![Field::new("deep", kind, true)]),
        &IpcWriteOptions::default(),
    )
    .into();
    assert_eq!(read(&[deep], BOUNDS), Err(Spoilt("a schema larger than any table's")));
}

/// The same cases each time.
fn config() -> ProptestConfig {
    let rng_seed = proptest::test_runner::RngSeed::Fixed(20_261_204);
    ProptestConfig { rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    /// One byte of one message is another: it passes or is refused, and what passes has the lengths that it says.
    #[test]
    fn one_wrong_byte_never_upsets_it(rows in 0_i32..20, which in 0_usize..4, at in any::<prop::sample::Index>(), to in any::<u8>(), body in any::<bool>()) {
        let mut all = encoded(vec![batch(rows)]);
        let which = which % all.len();
        let data = &mut all[which];
        let bytes = if body { &mut data.data_body } else { &mut data.data_header };
        if !bytes.is_empty() {
            let mut spoilt = bytes.to_vec();
            let place = at.index(spoilt.len());
            spoilt[place] = to;
            *bytes = spoilt.into();
        }
        let _ = read(&all, BOUNDS);
    }

    #[test]
    fn arbitrary_bytes_are_no_message(head in prop::collection::vec(any::<u8>(), 0..200), body in prop::collection::vec(any::<u8>(), 0..64)) {
        let mut checker = Checker::new(BOUNDS);
        let _ = checker.take(&head, &body);
        let mut begun = Checker::new(BOUNDS);
        let schema = &encoded(vec![batch(1)])[0];
        prop_assert!(begun.take(&schema.data_header, &schema.data_body).is_ok());
        let _ = begun.take(&head, &body);
    }
}
