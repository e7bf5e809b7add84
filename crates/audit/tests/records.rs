//! Tests that receipts can't be altered and that refusal logs count the records
//! that they drop.

use std::time::Duration;

use chestnut_audit::{MacKey, Receipt, Record, RefusalLog, RefusalLogConfig};
use chestnut_unit::{
    CallType, Execution, Incarnation, MemberId, OrgName, Reason, RequestId, ServiceName, Time,
    WallTime,
};
use proptest::{prelude::*, test_runner::RngSeed};

fn receipt() -> impl Strategy<Value = Receipt> {
    let reason = prop::sample::select(Reason::ALL.to_vec());
    let run = prop::sample::select(vec![
        Execution::NotRun,
        Execution::Unknown,
        Execution::Partial,
    ]);
    let named = any::<bool>();
    (any::<[u64; 4]>(), reason, run, named).prop_map(|(numbers, reason, run, named)| Receipt {
        entry: MemberId::new("dub-a-1").unwrap(),
        request: RequestId(numbers[0]),
        at: WallTime(numbers[1]),
        reason,
        run,
        org_version: numbers[2],
        template_version: numbers[3],
        organisation: named.then(|| OrgName::new("galway").unwrap()),
        service: named.then(|| ServiceName::new("ladder").unwrap()),
        call: named.then(|| CallType::new("finals").unwrap()),
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(2),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A receipt must decode to what was encoded, and only with the same key.
    #[test]
    fn receipts_round_trip(receipt in receipt()) {
        let key = MacKey::from_secret("a");
        let text = receipt.encode(&key);
        prop_assert_eq!(Receipt::decode(&text, &key), Ok(receipt.clone()));
        prop_assert!(Receipt::decode(&text, &MacKey::from_secret("b")).is_err());
    }

    /// A receipt with an altered character must not decode to another
    /// receipt.
    #[test]
    fn altered_receipts_are_rejected(
        receipt in receipt(),
        at in any::<prop::sample::Index>(),
        letter in prop::char::range('a', 'z'),
    ) {
        let key = MacKey::from_secret("a");
        let text = receipt.encode(&key);
        let mut chars: Vec<char> = text.chars().collect();
        let index = at.index(chars.len());
        chars[index] = letter;
        let altered: String = chars.into_iter().collect();
        let decoded = Receipt::decode(&altered, &key);
        prop_assert!(decoded.is_err() || decoded == Ok(receipt.clone()));
    }
}

fn refusal_log(capacity: usize) -> RefusalLog {
    let config = RefusalLogConfig {
        capacity,
        batch_size: 10,
        ..RefusalLogConfig::default()
    };
    RefusalLog::new(config, MemberId::new("m").unwrap(), Incarnation(1))
}

fn record(n: u64) -> Record {
    Record {
        receipt: format!("r{n}"),
        detail: String::new(),
    }
}

/// Records dropped while the platform is unavailable must be counted in the
/// next batch.
#[test]
fn dropped_records_are_counted_in_the_next_batch() {
    let mut log = refusal_log(20);
    for n in 0..50 {
        log.add(Reason::Overload, record(n), WallTime(n));
    }
    assert_eq!(log.dropped(), 30);
    let batch = log.next_batch(7, Time::from_millis(1)).unwrap();
    let gap = batch.gap.clone().unwrap();
    assert_eq!(gap.dropped[&Reason::Overload], 30);
    assert_eq!(batch.records[0], record(30));
    // After a lost answer the same batch is written again.
    let again = log.next_batch(7, Time::from_millis(60_000)).unwrap();
    assert_eq!(again, batch);
    log.confirm(&batch.name);
    assert_eq!(log.written(), 10);
    assert_eq!(log.unconfirmed(), 10);
}

/// Many entries must not exceed the common write rate to the platform.
#[test]
fn the_interval_grows_with_the_number_of_entries() {
    let mut log = refusal_log(1000);
    log.add(Reason::Overload, record(0), WallTime(0));
    let batch = log
        .next_batch(2900, Time::ZERO + Duration::from_secs(1))
        .unwrap();
    log.confirm(&batch.name);
    log.add(Reason::Overload, record(1), WallTime(0));
    assert!(
        log.next_batch(2900, Time::ZERO + Duration::from_secs(50))
            .is_none()
    );
    assert!(
        log.next_batch(2900, Time::ZERO + Duration::from_secs(60))
            .is_some()
    );
}
