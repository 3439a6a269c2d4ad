use super::*;
use byte_mutation::mutated;
use proptest::prelude::*;

fn samples() -> Vec<Vec<u8>> {
    let turn = |previous: Option<&str>| Turn {
        attempt: "6f1c9a52".into(),
        previous: previous.map(Into::into),
        input: Bytes::from_static(b"{\"q\":1}"),
        output: Bytes::from_static(b"one\ntwo\n"),
        retention_ms: 86_400_000,
        replicas: vec![u64::MAX, 0, 5],
    };
    let backfill =
        BackfillRecord { in_sync: vec![(7, [1, 2, u64::MAX].into()), (8, [3].into())], damaged: true };
    let mut samples = vec![encode(&turn(None)), encode(&turn(Some("before"))), encode(&backfill)];
    samples.extend([encode(&[1_u64, 2, 3][..]), Bytes::from_static(&[0, 0, 2, 1])]);
    samples.into_iter().map(|sample| sample.to_vec()).collect()
}

fn check<T: Serialize + for<'a> Deserialize<'a> + PartialEq + std::fmt::Debug>(bytes: &[u8]) {
    if let Ok(value) = decode::<T>(bytes) {
        assert_eq!(decode::<T>(&encode(&value)).unwrap(), value);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(20_000) })]

    #[test]
    fn changed_records_are_refused_or_decode_to_a_valid_value(bytes in mutated(samples())) {
        check::<Turn>(&bytes);
        check::<BackfillRecord>(&bytes);
        check::<Vec<u64>>(&bytes);
        if let Ok((program, reservation)) = account_entry(&bytes, &bytes[..bytes.len().min(4)]) {
            let write = account_write(&program, reservation.attempt, reservation.tokens);
            prop_assert_eq!(&write.key, &bytes);
            prop_assert_eq!(write.value.as_deref(), Some(&bytes[..4]));
        }
    }
}
