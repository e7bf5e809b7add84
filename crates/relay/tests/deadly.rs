//! Requests that end the leafs which run them.

mod world;

use std::{collections::BTreeSet, time::Duration};

use chestnut_book::{Kind, Target};
use chestnut_relay::{Declined, Relay, Reply, Why};
use chestnut_unit::{LeafId, Reason, Run};
use futures::future::{join, join_all};
use rstest::rstest;
use tokio::time::{Instant, sleep};
use world::{
    Answers, CONTACT, ENDED, Ended, Manner, Stage, TRIES, ask, book, gather, name, peers_address,
    rule,
};

const SHARDS: [&str; 4] = ["s1", "s2", "s3", "s4"];
/// What ends its leafs.
const DEADLY: &str = "/q/deadly";

/// Entries that know each other, before leafs that answer after 10 ms.
async fn entries(stage: &Stage, count: u16) -> Vec<Relay> {
    let relays = join_all((1..=count).map(|n| stage.serving(n))).await;
    sleep(Duration::from_secs(5)).await;
    relays
}

fn stage(kind: Kind, target: Target) -> Stage {
    let stage = Stage {
        domains: 3,
        seeds: vec![1, 2, 3],
        ..Stage::default()
    };
    for service in SHARDS.iter().chain(&["archive"]) {
        stage.add_leafs(service, 3, 10);
    }
    stage
        .store
        .put_book(book(1, vec![rule("/q/", kind, target)]));
    stage.leafs.set_deadly(DEADLY);
    stage
}

fn search() -> Target {
    gather(&SHARDS, 750)
}

/// Tries of `path` that reached leafs later than `from`.
fn tries(stage: &Stage, path: &str, from: Instant) -> usize {
    let got = stage.leafs.got();
    let late = got.iter().filter(|got| got.path == path && got.at > from);
    late.map(|got| got.request.clone())
        .collect::<BTreeSet<_>>()
        .len()
}

/// From when on the bound holds.
fn bound(ended: &[Ended]) -> Instant {
    ended[ENDED - 1].at + CONTACT
}

/// A caller tries the same again and again, and leafs end under each try: callers of
/// other requests get nothing for seconds, over and over.
/// Each try goes to another entry, a second or two after the one before, while the leafs
/// that ended start again. Nothing was kept of a request beyond its try, so each was
/// planned as if it were new: with one entry in place of six the tries went on the same.
#[rstest]
#[case::search(Kind::Idempotent, search())]
#[case::one_leaf(Kind::Idempotent, Target::One(name("archive")))]
#[case::once(Kind::Once, Target::One(name("archive")))]
#[tokio::test(start_paused = true)]
async fn what_ends_its_leafs_is_sent_no_more(#[case] kind: Kind, #[case] target: Target) {
    let stage = stage(kind, target);
    let relays = entries(&stage, 6).await;
    for n in 0..40 {
        let relay = &relays[n * 5 % relays.len()];
        relay.forward(ask(&format!("r{n}"), DEADLY)).await;
        sleep(Duration::from_millis(1300)).await;
    }
    let ended = stage.leafs.ended();
    let late = tries(&stage, DEADLY, bound(&ended));
    assert!(late <= TRIES, "{late} tries, {} leafs ended", ended.len());
}

/// How long a refusal for want of a better verdict may take: one trial at a time.
const TRIAL: Duration = Duration::from_secs(1);

fn declined(reply: &Reply) -> Option<Declined> {
    match reply {
        Reply::Declined(declined) => Some(*declined),
        Reply::Whole(_) | Reply::Merged { .. } => None,
    }
}

/// For how long a request is refused as one that ends leafs, if it is.
fn quarantined(reply: &Reply) -> Option<Duration> {
    let declined = declined(reply)?;
    let why = Why::Declined(Reason::Quarantined);
    declined.after.filter(|_| declined.why == why)
}

/// What became of the requests of one path.
#[derive(Default)]
struct Fates {
    served: usize,
    failed: usize,
    /// Longest refusal as one that ends leafs, and how many there were.
    refused: Option<Duration>,
    refusals: usize,
    /// Requests that "not run" was said of.
    unrun: Vec<String>,
}

impl Fates {
    fn take(&mut self, id: String, reply: &Reply) {
        let refused = quarantined(reply);
        self.refusals += usize::from(refused.is_some());
        self.refused = self.refused.max(refused);
        match declined(reply) {
            None => self.served += 1,
            Some(declined) if declined.run == Run::NotRun => self.unrun.push(id),
            Some(_) => self.failed += 1,
        }
    }
}

/// Sends a request for `path` each `gap` for `span`, to the entries in turn.
async fn send(relays: &[Relay], path: &'static str, gap: Duration, span: Duration) -> Fates {
    let mut fates = Fates::default();
    let count = (span.as_millis() / gap.as_millis()) as usize;
    let sent = (0..count).map(|n| async move {
        sleep(gap * n as u32).await;
        let id = format!("{path} {n}");
        let reply = relays[n * 5 % relays.len()].forward(ask(&id, path)).await;
        (id, reply)
    });
    for (id, reply) in join_all(sent).await {
        fates.take(id, &reply);
    }
    fates
}

/// Checks that no leaf got a request of which "not run" was said.
fn assert_unrun(stage: &Stage, fates: &Fates) {
    let got: BTreeSet<String> = stage
        .leafs
        .got()
        .into_iter()
        .map(|got| got.request)
        .collect();
    for id in &fates.unrun {
        assert!(!got.contains(id), "{id} was said not to have run");
    }
}

/// Sends what ends leafs for as long as it takes to be refused.
async fn send_deadly(relays: &[Relay]) {
    let (gap, span) = (Duration::from_millis(1300), Duration::from_secs(10));
    send(relays, DEADLY, gap, span).await;
}

/// Mends what ends leafs, and waits until the refusal of it is over.
async fn mend(stage: &Stage, relays: &[Relay]) {
    let reply = relays[0].forward(ask("refused", DEADLY)).await;
    let after = quarantined(&reply).expect("refused");
    stage.leafs.mend(DEADLY);
    sleep(after + Duration::from_millis(10)).await;
}

/// Callers of other requests would be refused with the one at fault.
/// Their calls run on the leafs that it ends and are lost with it, at each of its tries.
/// They are answered elsewhere or at their next try, and nothing is held against them.
#[rstest]
#[case::search(Kind::Idempotent, search())]
#[case::one_leaf(Kind::Idempotent, Target::One(name("archive")))]
#[case::once(Kind::Once, Target::One(name("archive")))]
#[tokio::test(start_paused = true)]
async fn others_on_the_same_leafs_are_served(#[case] kind: Kind, #[case] target: Target) {
    let stage = stage(kind, target);
    let relays = entries(&stage, 6).await;
    let (gap, span) = (Duration::from_millis(1300), Duration::from_secs(40));
    let others = join(
        send(&relays, "/q/popular", Duration::from_millis(20), span),
        send(&relays, "/q/seldom", Duration::from_millis(900), span),
    );
    let (deadly, (popular, seldom)) = join(send(&relays, DEADLY, gap, span), others).await;
    let late = tries(&stage, DEADLY, bound(&stage.leafs.ended()));
    assert!(late <= TRIES, "{late} tries");
    assert!(deadly.refused.is_some_and(|refused| refused > TRIAL));
    for (what, fates) in [("popular", &popular), ("seldom", &seldom)] {
        assert_unrun(&stage, fates);
        let refused = fates.refused.unwrap_or_default();
        assert!(refused <= TRIAL, "{what}: refused for {refused:?}");
        let all = fates.served + fates.failed + fates.unrun.len();
        assert!(
            fates.served * 10 >= all * 8,
            "{what}: {} of {all} served",
            fates.served
        );
    }
    assert_unrun(&stage, &deadly);
}

/// Callers of a popular request would be refused, which ends no leaf.
/// Two thirds of all leafs end every four seconds, for another reason, with calls of it
/// under way at every entry.
#[rstest]
#[case::search(Kind::Idempotent, search())]
#[case::one_leaf(Kind::Idempotent, Target::One(name("archive")))]
#[case::once(Kind::Once, Target::One(name("archive")))]
#[tokio::test(start_paused = true)]
async fn leafs_that_end_for_another_reason_are_held_against_none(
    #[case] kind: Kind,
    #[case] target: Target,
) {
    let stage = stage(kind, target);
    let relays = entries(&stage, 6).await;
    let span = Duration::from_secs(60);
    let ends = async {
        for round in 0..15 {
            for service in SHARDS.iter().chain(&["archive"]) {
                for n in (0..3).filter(|n| *n != round % 3) {
                    stage
                        .leafs
                        .end(&LeafId::new(format!("{service}-{n}")).unwrap());
                }
            }
            sleep(Duration::from_secs(4)).await;
        }
    };
    let popular = send(&relays, "/q/popular", Duration::from_millis(10), span);
    let (popular, ()) = join(popular, ends).await;
    assert_unrun(&stage, &popular);
    let refused = popular.refused.unwrap_or_default();
    assert!(refused <= TRIAL, "refused for {refused:?}");
    // One in a hundred gave way to a trial.
    let all = popular.served + popular.failed + popular.unrun.len();
    assert!(
        popular.refusals * 100 <= all,
        "{} of {all}",
        popular.refusals
    );
}

/// Callers would be refused for minutes because connections to leafs are reset.
/// Every call of the request is lost, at every leaf and again and again, and each leaf
/// still takes connections: it has not ended.
#[tokio::test(start_paused = true)]
async fn connections_that_end_alone_are_held_against_none() {
    let stage = stage(Kind::Once, Target::One(name("archive")));
    for leaf in stage.add_leafs("archive", 3, 10) {
        stage.leafs.set(&leaf, Manner::Loses);
    }
    let relays = entries(&stage, 6).await;
    let span = Duration::from_secs(20);
    let lost = send(&relays, "/q/popular", Duration::from_millis(100), span).await;
    assert!(lost.failed > 100, "{} failed", lost.failed);
    assert_eq!(lost.refusals, 0);
}

/// An entry that starts sends on what the others refuse.
/// It hears of it with the first probes.
#[tokio::test(start_paused = true)]
async fn an_entry_that_starts_hears_of_it() {
    let stage = stage(Kind::Idempotent, search());
    let mut relays = entries(&stage, 6).await;
    send_deadly(&relays).await;
    relays.push(stage.serving(7).await);
    sleep(CONTACT).await;
    let reply = relays[6].forward(ask("late", DEADLY)).await;
    assert!(quarantined(&reply).is_some_and(|after| after > TRIAL));
}

/// The callers of a request that was mended are refused for good.
/// A trial after the end of the refusal is answered, and every entry hears of that.
#[tokio::test(start_paused = true)]
async fn what_was_mended_is_served_again_everywhere() {
    let stage = stage(Kind::Idempotent, search());
    let relays = entries(&stage, 6).await;
    send_deadly(&relays).await;
    mend(&stage, &relays).await;
    let first = relays[0].forward(ask("first", DEADLY)).await;
    assert!(declined(&first).is_none(), "{first:?}");
    sleep(CONTACT).await;
    for relay in &relays {
        let reply = relay.forward(ask("again", DEADLY)).await;
        assert!(declined(&reply).is_none(), "{reply:?}");
    }
}

/// Leafs end under a caller that tries again at once and at several entries together.
#[tokio::test(start_paused = true)]
async fn tries_that_come_together_stay_within_the_bound() {
    let stage = stage(Kind::Idempotent, search());
    let relays = entries(&stage, 6).await;
    for round in 0..40 {
        let tries = relays.iter().enumerate().map(|(n, relay)| async move {
            relay.forward(ask(&format!("{round} {n}"), DEADLY)).await
        });
        join_all(tries).await;
        sleep(Duration::from_millis(700)).await;
    }
    let late = tries(&stage, DEADLY, bound(&stage.leafs.ended()));
    assert!(late <= TRIES, "{late} tries");
}

/// Leafs end again under what every entry refused, as each finds out anew.
/// All entries lose power at once, twice. None remembers, but the store has a record.
#[tokio::test(start_paused = true)]
async fn what_is_refused_stays_so_after_all_entries_ended() {
    let stage = stage(Kind::Idempotent, search());
    let mut relays = entries(&stage, 6).await;
    let gap = Duration::from_millis(1300);
    send(&relays, DEADLY, gap, Duration::from_secs(10)).await;
    for _ in 0..2 {
        relays.clear();
        sleep(Duration::from_secs(2)).await;
        relays = entries(&stage, 6).await;
        send(&relays, DEADLY, gap, Duration::from_secs(20)).await;
    }
    let late = tries(&stage, DEADLY, bound(&stage.leafs.ended()));
    assert!(late <= TRIES, "{late} tries");
    assert_eq!(late, 0, "the record was there before any caller");
}

/// Leafs end under a request that the others refuse, which comes to entries that don't
/// hear of it: two of them reach the store and none of the others.
#[tokio::test(start_paused = true)]
async fn entries_that_reach_only_the_store_hear_of_it() {
    let stage = stage(Kind::Idempotent, search());
    let relays = entries(&stage, 6).await;
    stage.net.part(&[peers_address(5), peers_address(6)]);
    sleep(Duration::from_secs(5)).await;
    let gap = Duration::from_millis(1300);
    send(&relays[..4], DEADLY, gap, Duration::from_secs(10)).await;
    send(&relays, DEADLY, gap, Duration::from_secs(30)).await;
    let late = tries(&stage, DEADLY, bound(&stage.leafs.ended()));
    assert!(late <= TRIES, "{late} tries");
}

/// The store fills with records of requests that were mended or came no more.
#[tokio::test(start_paused = true)]
async fn records_end_with_what_they_tell() {
    let stage = stage(Kind::Idempotent, search());
    let relays = entries(&stage, 6).await;
    send_deadly(&relays).await;
    assert_eq!(stage.store.records(), 1);
    mend(&stage, &relays).await;
    relays[0].forward(ask("first", DEADLY)).await;
    sleep(Duration::from_secs(2)).await;
    assert_eq!(stage.store.records(), 0);
    stage.leafs.set_deadly("/q/other");
    send(
        &relays,
        "/q/other",
        Duration::from_millis(1300),
        Duration::from_secs(10),
    )
    .await;
    assert_eq!(stage.store.records(), 1);
    sleep(Duration::from_secs(3600)).await;
    assert_eq!(stage.store.records(), 0);
}

/// What the store could not take while it was away is written when it is back.
#[tokio::test(start_paused = true)]
async fn a_record_waits_for_the_store() {
    let stage = stage(Kind::Idempotent, search());
    let relays = entries(&stage, 6).await;
    stage.store.answers(Answers::Never);
    send_deadly(&relays).await;
    assert_eq!(stage.store.records(), 0);
    stage.store.answers(Answers::Yes);
    sleep(Duration::from_secs(5)).await;
    assert_eq!(stage.store.records(), 1);
}

/// An operator who has mended the leafs waits for up to two hours.
/// Entries tell each other, and the store tells those that start: with all entries stopped
/// and the record removed nothing is held against the request any more.
#[tokio::test(start_paused = true)]
async fn an_operator_lifts_a_refusal() {
    let stage = stage(Kind::Idempotent, search());
    let mut relays = entries(&stage, 6).await;
    send_deadly(&relays).await;
    let refused = relays[0].forward(ask("refused", DEADLY)).await;
    assert!(quarantined(&refused).is_some());
    stage.leafs.mend(DEADLY);
    relays.clear();
    stage.store.drop_records();
    sleep(Duration::from_secs(1)).await;
    relays = entries(&stage, 6).await;
    for relay in &relays {
        let reply = relay.forward(ask("again", DEADLY)).await;
        assert!(declined(&reply).is_none(), "{reply:?}");
    }
}
