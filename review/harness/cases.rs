//! The cases.

use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    flows,
    site::{CORE, DATAGRAM_PORT, READY_PORT, Role, SERVICE, Site, http},
};

/// `stable-window-ms`, `ack-ms`, `recovery-s` and `catch-up-s` of the small installations.
const STABLE_WINDOW: Duration = Duration::from_millis(4000);
const ACK: Duration = Duration::from_millis(5000);
const RECOVERY: Duration = Duration::from_secs(12);

/// A caller of `control` waits this long for a response.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

fn desired_state(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-x73d3zj","host":"127.198.0.1","path-prefix":"/8443/","type":"safe","timeout-ms":500,"target-latency-ms":120,"priority":1,"service":"{SERVICE}","max-attempts":2}}],"services":[{{"name":"{SERVICE}","health-path":"/health","max-connections":2000,"protocol":"h1","tls":false}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}}}"#
    )
}

/// A desired state with `count` more routes to the service.
fn large_state(version: u64, count: u32) -> String {
    let mut routes = String::new();
    for n in 0..count {
        let (host, port) = (n / 60 + 2, 8000 + n % 60);
        routes += &format!(r#","#);
        routes += &format!(
            r#"{{"name":"r-{n:07}","host":"127.198.{}.{}","path-prefix":"/{port}/","type":"safe","timeout-ms":500,"target-latency-ms":120,"priority":2,"service":"{SERVICE}","max-attempts":2}}"#,
            host / 250,
            host % 250 + 1
        );
    }
    let state = desired_state(version);
    state.replacen("}],\"services\"", &format!("}}{routes}],\"services\""), 1)
}

/// Sends the order to one node after the other until one confirms it. Returns that
/// node, or `None` at `until`.
fn order(site: &Site, version: u64, until: Instant) -> Result<Option<u8>, String> {
    order_state(site, version, &desired_state(version), CALL_TIMEOUT, until)
}

fn order_state(
    site: &Site,
    version: u64,
    body: &str,
    timeout: Duration,
    until: Instant,
) -> Result<Option<u8>, String> {
    let mut backoff = Duration::from_millis(100);
    for call in 0u8.. {
        if Instant::now() >= until {
            break;
        }
        let n = call % CORE;
        let answer = http(site.control(n), "PUT", "/api/config", body, timeout);
        let status = answer.map(|(status, _)| status);
        site.record.line(&format!(
            "order of version {version} to core host {n}: {status:?}"
        ));
        match status {
            Some(200) => return Ok(Some(n)),
            Some(status @ (400 | 409 | 412 | 413 | 422)) => {
                return Err(format!("the order was refused with {status}"));
            }
            _ => {}
        }
        thread::sleep(backoff);
        backoff = (backoff * 2).min(Duration::from_millis(800));
    }
    Ok(None)
}

/// Reads the desired state at every node, again and again, until one answers with
/// `version` or `until` passes.
fn read_back(site: &Site, version: u64, until: Instant) -> bool {
    let wanted = format!("\"version\":{version},");
    while Instant::now() < until {
        for n in 0..CORE {
            let answer = http(site.control(n), "GET", "/api/config", "", CALL_TIMEOUT);
            let text = match &answer {
                Some((200, body)) if body.contains(&wanted) => format!("200, version {version}"),
                Some((status, body)) => format!("{status} {body}"),
                None => "no response".to_owned(),
            };
            site.record.line(&format!("read at core host {n}: {text}"));
            if text.starts_with("200, version") {
                return true;
            }
        }
        thread::sleep(Duration::from_millis(700));
    }
    false
}

/// The core host with the lowest address loses its disk half a second after the first
/// start of the system, and is back half a second later.
pub fn founder_lost(folder: &Path, trouble: bool) -> Result<bool, String> {
    let mut site = Site::new(folder, false, CORE)?;
    let started = Instant::now();
    flows::start_server(site.ip(Role::Agent), site.record.clone())?;
    for n in 0..CORE {
        site.start(Role::Control(n), true)?;
    }
    site.start(Role::Balancer, true)?;
    site.start(Role::Agent, true)?;
    let mut stable_from = started + STABLE_WINDOW;
    if trouble {
        sleep_until(started + Duration::from_millis(500));
        site.kill(Role::Control(0));
        // DISK=kept shows that the kill alone does it.
        if std::env::var("DISK").as_deref() != Ok("kept") {
            site.empty_disk(Role::Control(0));
        }
        thread::sleep(Duration::from_millis(500));
        site.start(Role::Control(0), false)?;
        stable_from = Instant::now() + STABLE_WINDOW;
    }
    let route = "127.198.0.1:8443".parse().unwrap();
    let ingress = std::net::SocketAddrV4::new(site.ip(Role::Balancer), DATAGRAM_PORT);
    sleep_until(started + Duration::from_secs(2));
    // Traffic starts 10 s after the machines do; here it starts with the first order.
    let served = flows::start_client(site.address(200), ingress, route, site.record.clone())?;
    // Far longer than `ack-ms` in one stretch in which the core is stable.
    let confirmed = order(&site, 1, stable_from + 6 * ACK)?;
    let confirmed_at = Instant::now();
    if confirmed.is_some() {
        thread::sleep(Duration::from_secs(6));
    }
    for n in 0..CORE {
        if site.has_ended(Role::Control(n)) {
            return Err(format!("core host {n} does not run"));
        }
    }
    let balancer = std::net::SocketAddrV4::new(site.ip(Role::Balancer), READY_PORT);
    let ready = http(balancer, "GET", "/api/readyz", "", CALL_TIMEOUT);
    site.record.line(&format!(
        "readiness of the balancer: {:?}",
        ready.map(|(s, _)| s)
    ));
    let served = served.load(Ordering::SeqCst);
    let took = confirmed_at.saturating_duration_since(stable_from);
    site.record.line(&format!(
        "order confirmed: {}, {took:.1?} after the core was stable; any request served: {served}",
        confirmed.is_some()
    ));
    // The rule as written: "if no request is served".
    Ok(served)
}

/// The core host with the lowest address is cut off from the other two while the system
/// starts for the first time, and loses its disk right after it has acknowledged the
/// first order.
pub fn acknowledged_alone(folder: &Path, trouble: bool) -> Result<bool, String> {
    let mut site = Site::new(folder, true, CORE)?;
    let cut = Arc::new(AtomicBool::new(trouble));
    site.start_proxy(&cut)?;
    let started = Instant::now();
    let healed = started + Duration::from_millis(5500);
    if trouble {
        site.record.line("core host 0 is cut off from the others");
    }
    for n in 0..CORE {
        site.start(Role::Control(n), true)?;
    }
    thread::sleep(Duration::from_millis(500));
    let Some(n) = order(&site, 1, started + Duration::from_secs(30))? else {
        return Err("no node acknowledged the order".to_owned());
    };
    if trouble {
        site.kill(Role::Control(n));
        site.empty_disk(Role::Control(n));
        thread::sleep(Duration::from_millis(1000));
        site.start(Role::Control(n), false)?;
        sleep_until(healed);
        cut.store(false, Ordering::SeqCst);
        site.record.line("the cut has healed");
    }
    let back = Instant::now();
    // All machines have been back for `recovery-s` then; the reads go on for longer
    // than `stable-window-ms`.
    let found = read_back(&site, 1, back + RECOVERY + 2 * STABLE_WINDOW);
    for n in 0..CORE {
        if site.has_ended(Role::Control(n)) {
            return Err(format!("core host {n} does not run"));
        }
    }
    site.record
        .line(&format!("the acknowledged state was read back: {found}"));
    Ok(found)
}

/// On eight core hosts with links of 100 Mbit/s, the desired state grows by many routes,
/// twice.
pub fn large_order(folder: &Path, trouble: bool) -> Result<bool, String> {
    const HOSTS: u8 = 8;
    // `ack-ms` and `stable-window-ms` of the site.
    const ACK: Duration = Duration::from_secs(6);
    const STABLE_WINDOW: Duration = Duration::from_secs(5);
    let mut site = Site::new(folder, true, HOSTS)?;
    site.start_proxy(&Arc::new(AtomicBool::new(false)))?;
    let started = Instant::now();
    for n in 0..HOSTS {
        site.start(Role::Control(n), true)?;
    }
    if order(&site, 1, started + Duration::from_secs(15))?.is_none() {
        return Err("the first order was not confirmed".to_owned());
    }
    let grown = if trouble { [1760, 3280] } else { [240, 240] };
    let mut kept = true;
    for (version, count) in (2..).zip(grown) {
        thread::sleep(STABLE_WINDOW);
        let state = large_state(version, count);
        let bound = ACK + Duration::from_millis(3) * (count + 1);
        site.record.line(&format!(
            "version {version} has {} routes and {} bytes; its bound is {bound:?}",
            count + 1,
            state.len()
        ));
        // Callers wait longer for large bodies.
        let timeout = CALL_TIMEOUT + Duration::from_millis(500);
        let sent = Instant::now();
        let confirmed = order_state(&site, version, &state, timeout, sent + bound * 2)?;
        let took = sent.elapsed();
        site.record.line(&format!(
            "version {version} confirmed: {}, after {took:.1?}",
            confirmed.is_some()
        ));
        kept &= confirmed.is_some() && took <= bound;
    }
    for n in 0..HOSTS {
        if site.has_ended(Role::Control(n)) {
            return Err(format!("core host {n} does not run"));
        }
    }
    Ok(kept)
}
