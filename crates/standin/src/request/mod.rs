//! Request handlers of a stand-in upstream.

use std::{collections::BTreeMap, fmt::Write, io, time::Duration};

use actix_rt::time::sleep;
use actix_web::{HttpRequest, HttpResponse, body::SizedStream, http::StatusCode, web};
use bytes::Bytes;
use futures_util::{
    StreamExt,
    stream::{self, unfold},
};

use crate::{Activity, process::RegisterHandle};

/// Upper bound of the delays and intervals that a request can set.
const MAX_DELAY: Duration = Duration::from_mins(1);

/// Default interval between two lines of a feed.
const FEED_INTERVAL: Duration = Duration::from_millis(100);

/// Name of a stand-in upstream, which its answers contain.
#[derive(Debug, Clone)]
pub struct UpstreamName(pub Bytes);

type Query = web::Query<BTreeMap<String, String>>;

fn millis_parameter(query: &Query, key: &str, default: Duration) -> Duration {
    let value = query.get(key).and_then(|text| text.parse().ok());
    value.map_or(default, Duration::from_millis).min(MAX_DELAY)
}

/// Answers with the name of the upstream.
pub async fn answer_name(name: web::Data<UpstreamName>) -> HttpResponse {
    let mut body = b"served by ".to_vec();
    body.extend_from_slice(&name.0);
    body.push(b'\n');
    HttpResponse::Ok().content_type("text/plain").body(body)
}

/// Runs a claim, which is not idempotent, and answers with its number of runs.
pub async fn claim(
    register: web::Data<RegisterHandle>,
    id: web::Path<String>,
    query: Query,
) -> HttpResponse {
    let mut running = register.begin();
    let runs = register.run_claim(Bytes::from(id.into_inner())).await;
    sleep(millis_parameter(&query, "ms", Duration::ZERO)).await;
    running.complete();
    HttpResponse::Ok().body(format!("{runs}\n"))
}

/// Sends `lines` numbered lines, or without this parameter lines until the caller
/// disconnects.
pub async fn feed(register: web::Data<RegisterHandle>, query: Query) -> HttpResponse {
    let running = register.begin();
    let interval = millis_parameter(&query, "ms", FEED_INTERVAL);
    let lines: u64 = query
        .get("lines")
        .and_then(|n| n.parse().ok())
        .unwrap_or(u64::MAX);
    let stream = unfold((0, running), move |(line, mut running)| async move {
        if line >= lines {
            running.complete();
            return None;
        }
        if line > 0 {
            sleep(interval).await;
        }
        let text = Bytes::from(format!("{line}\n"));
        Some((Ok::<_, io::Error>(text), (line + 1, running)))
    });
    HttpResponse::Ok()
        .content_type("text/plain")
        .streaming(Box::pin(stream))
}

/// Answers after `ms` milliseconds; at once if `at` names another upstream.
pub async fn slow(
    name: web::Data<UpstreamName>,
    register: web::Data<RegisterHandle>,
    query: Query,
) -> HttpResponse {
    let mut running = register.begin();
    let applies = query.get("at").is_none_or(|at| at.as_bytes() == name.0);
    if applies {
        sleep(millis_parameter(&query, "ms", Duration::from_secs(1))).await;
    }
    running.complete();
    answer_name(name).await
}

/// Refuses the request as an overloaded upstream does.
pub async fn shed() -> HttpResponse {
    HttpResponse::ServiceUnavailable()
        .insert_header(("retry-after", "1"))
        .insert_header(("limpet-outcome", "not-run"))
        .body("busy\n")
}

/// Aborts in the middle of an answer, which has a content length unless `chunked`
/// is set.
pub async fn truncated(query: Query) -> HttpResponse {
    let first = stream::iter([Ok(Bytes::from_static(b"half of "))]);
    let broken = stream::once(async {
        // Aborts only after the head and the first part were sent.
        sleep(FEED_INTERVAL).await;
        Err(io::Error::other("broken off on purpose"))
    });
    let parts = Box::pin(first.chain(broken));
    if query.contains_key("chunked") {
        return HttpResponse::Ok().streaming(parts);
    }
    HttpResponse::Ok().body(SizedStream::new(100, parts))
}

/// Answers before it reads the request body.
pub async fn early() -> HttpResponse {
    HttpResponse::PayloadTooLarge().body("too large\n")
}

/// Answers without a body.
pub async fn empty(status: web::Path<u16>) -> HttpResponse {
    let status = StatusCode::from_u16(status.into_inner()).unwrap_or(StatusCode::NO_CONTENT);
    HttpResponse::build(status)
        .insert_header(("etag", "\"1\""))
        .finish()
}

/// Answers with header fields, of which only `x-kept` may reach a caller.
pub async fn fields() -> HttpResponse {
    HttpResponse::Ok()
        .insert_header(("x-kept", "1"))
        .insert_header(("limpet-outcome", "unknown"))
        .insert_header(("limpet-upstream", "0000000000000001"))
        .insert_header(("limpet-timeout-ms", "1"))
        .body("fields\n")
}

/// Answers with the load report of class `default`.
pub async fn load(register: web::Data<RegisterHandle>) -> HttpResponse {
    let Some(activity) = register.activity().await else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    let Activity { slots, running, .. } = activity;
    HttpResponse::Ok()
        .content_type("application/json")
        .body(format!(
            r#"{{"default":{{"slots":{slots},"in_flight":{running}}}}}"#
        ))
}

/// Reads the whole request body and answers with its length.
pub async fn upload(register: web::Data<RegisterHandle>, mut body: web::Payload) -> HttpResponse {
    let mut running = register.begin();
    let mut len = 0;
    while let Some(part) = body.next().await {
        match part {
            Ok(part) => len += part.len(),
            Err(_) => return HttpResponse::BadRequest().finish(),
        }
    }
    running.complete();
    HttpResponse::Ok().body(format!("{len}\n"))
}

/// Answers with the request line and the header fields of the request.
pub async fn head(req: HttpRequest) -> HttpResponse {
    let mut text = format!("{} {}\n", req.method(), req.uri());
    for (name, value) in req.headers() {
        let value = String::from_utf8_lossy(value.as_bytes());
        let _ = writeln!(text, "{name}: {value}");
    }
    HttpResponse::Ok().body(text)
}
