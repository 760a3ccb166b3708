//! Compares the placement of `route` with plain hash modulo and with weighted
//! rendezvous hashing, and measures the time of rebuilds and decisions.

use std::{
    collections::BTreeMap,
    hint::black_box,
    net::{Ipv4Addr, SocketAddr},
    time::Instant,
};

use hdrhistogram::Histogram;
use route::{BucketOwners, Decision, RoutingTable, flow_key};
use twox_hash::XxHash64;
use types::{
    FlowKey, FlowPhase, Revision, Service, ServiceId, ServiceState, Share, UpstreamId,
    UpstreamMember, UpstreamState, Version,
};

type Shares = BTreeMap<UpstreamId, Share>;
type PlacementFn = fn(&Shares, usize) -> Vec<UpstreamId>;

const SCHEMES: [(&str, PlacementFn); 3] = [
    ("limpetplank", owners),
    ("modulo", modulo),
    ("rendezvous", rendezvous),
];

/// Number of upstreams in a service, and number of trials with different ids.
const UPSTREAMS_AND_TRIALS: [(usize, u64); 5] = [(3, 31), (7, 31), (14, 31), (100, 11), (1000, 1)];

fn main() {
    measure_rebuild();
    measure_decisions();
    measure_bucket_count_change();
    measure_movement();
}

fn hash(parts: [u64; 3]) -> u64 {
    let mut bytes = [0; 24];
    for (chunk, part) in bytes.chunks_exact_mut(8).zip(parts) {
        chunk.copy_from_slice(&part.to_le_bytes());
    }
    XxHash64::oneshot(0, &bytes)
}

fn upstream_id(trial: u64, n: usize) -> UpstreamId {
    UpstreamId(hash([trial, n as u64, 0]))
}

/// The owners of `buckets` buckets according to `route`, repeated if `route` uses
/// fewer buckets.
fn owners(shares: &Shares, buckets: usize) -> Vec<UpstreamId> {
    let owners: Vec<UpstreamId> = BucketOwners::new(shares).iter().collect();
    owners.iter().copied().cycle().take(buckets).collect()
}

/// Owner by the hash of the bucket modulo the number of upstreams with a share.
fn modulo(shares: &Shares, buckets: usize) -> Vec<UpstreamId> {
    let ids: Vec<UpstreamId> = shares.keys().copied().collect();
    (0..buckets)
        .map(|bucket| ids[usize::try_from(hash([1, bucket as u64, 0])).unwrap() % ids.len()])
        .collect()
}

/// Owner by weighted rendezvous hashing: the upstream with the lowest exponential
/// random value of rate `share`, without quotas.
fn rendezvous(shares: &Shares, buckets: usize) -> Vec<UpstreamId> {
    #[allow(clippy::cast_precision_loss)]
    let time = |bucket: usize, id: UpstreamId, share: Share| {
        let unit = (hash([2, bucket as u64, id.0]) >> 11) as f64 / (1u64 << 53) as f64;
        -unit.ln() / f64::from(share.0)
    };
    (0..buckets)
        .map(|bucket| {
            let times = shares.iter().map(|(id, s)| (time(bucket, *id, *s), *id));
            times.min_by(|a, b| a.0.total_cmp(&b.0)).unwrap().1
        })
        .collect()
}

/// Shares before and after each kind of change.
fn share_changes(trial: u64, n: usize) -> Vec<(&'static str, Shares, Shares)> {
    let base: Shares = (0..n)
        .map(|at| (upstream_id(trial, at), Share::FULL))
        .collect();
    let with = |shares: &Shares, at: usize, share: u32| {
        let mut shares = shares.clone();
        shares.insert(upstream_id(trial, at), Share(share));
        shares.retain(|_, share| share.0 > 0);
        shares
    };
    let mixed = (0..n).fold(base.clone(), |shares, at| {
        let lowered = u32::try_from(hash([trial, at as u64, 3]) % 512).unwrap();
        with(&shares, at, Share::FULL.0 - lowered)
    });
    let two = with(&with(&base, 0, 0), 1, 0);
    vec![
        ("leaves", base.clone(), with(&base, 0, 0)),
        ("joins at full share", base.clone(), with(&base, n, 1024)),
        ("ramp 0 to 1/8", base.clone(), with(&base, n, 128)),
        ("ramp 1/2 to 5/8", with(&base, n, 512), with(&base, n, 640)),
        ("two leave at once", base.clone(), two),
        (
            "one leaves, one joins",
            base.clone(),
            with(&with(&base, 0, 0), n, 1024),
        ),
        ("load report halves one", base.clone(), with(&base, 0, 512)),
        (
            "mixed shares, one leaves",
            mixed.clone(),
            with(&mixed, 0, 0),
        ),
    ]
}

fn counts(owners: &[UpstreamId]) -> BTreeMap<UpstreamId, i64> {
    owners.iter().fold(BTreeMap::new(), |mut counts, owner| {
        *counts.entry(*owner).or_default() += 1;
        counts
    })
}

/// Minimum number of buckets that an assignment with exact quotas moves.
fn min_moved(before: &[UpstreamId], after: &[UpstreamId]) -> i64 {
    let (before, after) = (counts(before), counts(after));
    let gain = |(id, n): (&UpstreamId, &i64)| (n - before.get(id).unwrap_or(&0)).max(0);
    after.iter().map(gain).sum()
}

fn median_and_worst(values: &mut [f64]) -> (f64, f64) {
    values.sort_by(f64::total_cmp);
    (values[values.len() / 2], values[values.len() - 1])
}

/// For each change, prints the number of moved buckets relative to the minimum,
/// and the largest excess of an upstream over its exact quota in percent.
fn measure_movement() {
    println!("moved / least possible: median (worst); greatest excess over quota, median %");
    for (n, trials) in UPSTREAMS_AND_TRIALS {
        let mut rows: BTreeMap<(usize, usize), (Vec<f64>, Vec<f64>)> = BTreeMap::new();
        let mut names = Vec::new();
        for trial in 0..trials {
            let share_changes = share_changes(trial, n);
            names = share_changes.iter().map(|change| change.0).collect();
            for (row, (_, before, after)) in share_changes.iter().enumerate() {
                let buckets = BucketOwners::new(before)
                    .bucket_count()
                    .max(BucketOwners::new(after).bucket_count());
                let min_moved = min_moved(&owners(before, buckets), &owners(after, buckets));
                for (column, (_, place)) in SCHEMES.iter().enumerate() {
                    let (from, to) = (place(before, buckets), place(after, buckets));
                    let moved = from.iter().zip(&to).filter(|(a, b)| a != b).count();
                    let cell = rows.entry((row, column)).or_default();
                    #[allow(clippy::cast_precision_loss)]
                    cell.0.push(moved as f64 / min_moved as f64);
                    cell.1.push(max_excess_percent(after, &to));
                }
            }
        }
        for (row, name) in names.iter().enumerate() {
            print!("{n:5} {name:25}");
            for (column, (scheme, _)) in SCHEMES.iter().enumerate() {
                let cell = rows.get_mut(&(row, column)).unwrap();
                let (moved, excess) =
                    (median_and_worst(&mut cell.0), median_and_worst(&mut cell.1));
                print!(
                    " | {scheme} {:6.2} ({:6.2}) {:5.1}%",
                    moved.0, moved.1, excess.0
                );
            }
            println!();
        }
    }
}

#[allow(clippy::cast_precision_loss)]
fn max_excess_percent(shares: &Shares, owners: &[UpstreamId]) -> f64 {
    let total: u64 = shares.values().map(|share| u64::from(share.0)).sum();
    let counts = counts(owners);
    let of = |(id, n): (&UpstreamId, &i64)| {
        let exact = owners.len() as f64 * f64::from(shares[id].0) / total as f64;
        100.0 * (*n as f64 / exact - 1.0)
    };
    counts.iter().map(of).fold(0.0, f64::max)
}

fn measure_rebuild() {
    println!("rebuild of one service: median (worst)");
    for (n, rounds) in [
        (2, 201),
        (7, 201),
        (16, 201),
        (17, 21),
        (100, 21),
        (1000, 11),
        (5000, 5),
    ] {
        let mut times: Vec<f64> = (0..rounds)
            .map(|trial| {
                let shares: Shares = (0..n)
                    .map(|at| (upstream_id(trial, at), Share::FULL))
                    .collect();
                let start = Instant::now();
                black_box(BucketOwners::new(&shares));
                start.elapsed().as_secs_f64() * 1e3
            })
            .collect();
        let (median, worst) = median_and_worst(&mut times);
        println!("{n:5} upstreams {median:9.3} ms ({worst:9.3} ms)");
    }
}

/// Counts the flows that change their owner when one upstream is added, for sizes
/// around a change of the number of buckets.
fn measure_bucket_count_change() {
    let flows = || (0..100_000_u64).map(|n| flow_key(ServiceId(1), &n.to_le_bytes()));
    for n in [1, 15, 16, 1024] {
        let of = |n| (0..n).map(|at| (upstream_id(0, at), Share::FULL)).collect();
        let (before, after) = (BucketOwners::new(&of(n)), BucketOwners::new(&of(n + 1)));
        let owner = |owners: &BucketOwners, flow| owners.owner(ServiceId(1), flow);
        let moved = flows()
            .filter(|flow| owner(&before, *flow) != owner(&after, *flow))
            .count();
        let (from, to) = (before.bucket_count(), after.bucket_count());
        println!(
            "{n} upstreams and one more, {from} to {to} buckets: {moved} of 100000 flows move"
        );
    }
}

fn service_state(n: u32, upstreams: u32) -> ServiceState {
    let ip = Ipv4Addr::from(0x0a00_0000 + n);
    let member = |at: u32| UpstreamMember {
        host: format!("h{n}-{at}").parse().unwrap(),
        data_centre: "dc1".parse().unwrap(),
        data_address: SocketAddr::from((ip, 1000 + u16::try_from(at).unwrap())),
        peer_address: SocketAddr::from((ip, 9)),
        state: UpstreamState::Ready,
        share: Share::FULL,
        previous_share: Share::FULL,
        evacuated: false,
    };
    ServiceState {
        service: Service {
            id: ServiceId(n),
            name: format!("s{n}").parse().unwrap(),
            address: SocketAddr::from((ip, 443)),
            revision: Revision(1),
            author: "bench".parse().unwrap(),
            targets: BTreeMap::new(),
        },
        members: (0..upstreams)
            .map(|at| (upstream_id(u64::from(n), at as usize), member(at)))
            .collect(),
        version: Version::default(),
    }
}

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    number.unwrap_or(0)
}

/// Measures decisions with 52,000 services of two upstreams, and with 37,000
/// services of two and 15,000 of one. The second table reuses memory of the first,
/// so that only the first memory figure is valid.
fn measure_decisions() {
    for (name, two) in [
        ("52,000 services, 104,000 upstreams", 52_000),
        ("52,000 services, 89,000 upstreams", 37_000),
    ] {
        let states: Vec<ServiceState> = (0..52_000)
            .map(|n| service_state(n, if n < two { 2 } else { 1 }))
            .collect();
        let (before, start) = (resident_kib(), Instant::now());
        let mut table = RoutingTable::default();
        table.apply(states.iter().cloned(), []);
        let (time, memory) = (start.elapsed(), resident_kib() - before);
        println!(
            "{name}: built in {time:.2?}, {memory} KiB, {} B a service",
            memory * 1024 / 52_000
        );
        let plain: BTreeMap<ServiceId, u64> = states
            .iter()
            .map(|s| (s.service.id, u64::from(s.service.id.0)))
            .collect();
        for services in [100, states.len()] {
            let asked = &states[..services];
            let map = time_lookups(asked, |service, _| assert!(plain.contains_key(&service)));
            let placed = time_lookups(asked, |service, _| assert_forwards(&table, service, None));
            let named = time_lookups(asked, |service, id| {
                assert_forwards(&table, service, Some(id));
            });
            println!(
                "  flows of {services} services, median (p99) of means over {LOOKUPS_PER_BATCH}, ns:"
            );
            println!("    plain map lookup {map}, decide by placement {placed}, by id {named}");
        }
    }
}

/// Lookups that are timed together, because one takes about as long as reading
/// the clock.
const LOOKUPS_PER_BATCH: u64 = 100;

fn assert_forwards(table: &RoutingTable, service: ServiceId, upstream: Option<UpstreamId>) {
    let flow = FlowKey(0x9e37_79b9_7f4a_7c15);
    let decision = table.decide(service, flow, FlowPhase::New, upstream);
    assert!(matches!(black_box(decision), Decision::Forward(_)));
}

/// Measures the time of `ask` on random services.
fn time_lookups(states: &[ServiceState], ask: impl Fn(ServiceId, UpstreamId)) -> String {
    let mut times = Histogram::<u64>::new(3).unwrap();
    for batch in 0..20_000 {
        let asked: Vec<_> = (0..LOOKUPS_PER_BATCH)
            .map(|n| {
                let at = usize::try_from(hash([batch, n, 5])).unwrap() % states.len();
                let upstream = *states[at].members.keys().next().unwrap();
                (states[at].service.id, upstream)
            })
            .collect();
        let start = Instant::now();
        for (service, upstream) in asked {
            ask(service, upstream);
        }
        let mean = u64::try_from(start.elapsed().as_nanos()).unwrap() / LOOKUPS_PER_BATCH;
        times.record(mean).unwrap();
    }
    let (median, p99) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
    format!("{median} ({p99})")
}
