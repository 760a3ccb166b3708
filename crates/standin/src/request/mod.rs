//! Requests of a stand-in upstream.

use std::{collections::BTreeMap, fmt::Write, io, time::Duration};

use actix_rt::time::sleep;
use actix_web::{HttpRequest, HttpResponse, body::SizedStream, web};
use bytes::Bytes;
use futures_util::{
    StreamExt,
    stream::{self, unfold},
};

use crate::process::RegisterHandle;

/// Longest answer time or interval that a caller can ask for.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// Interval between the lines of a feed.
const FEED_INTERVAL: Duration = Duration::from_millis(100);

/// Name of a stand-in upstream.
#[derive(Debug, Clone)]
pub struct Name(pub Bytes);

type Query = web::Query<BTreeMap<String, String>>;

fn millis(query: &Query, key: &str, default: Duration) -> Duration {
    let value = query.get(key).and_then(|text| text.parse().ok());
    value.map_or(default, Duration::from_millis).min(MAX_WAIT)
}

/// Answers with the upstream's name.
pub async fn greet(name: web::Data<Name>) -> HttpResponse {
    let mut body = b"served by ".to_vec();
    body.extend_from_slice(&name.0);
    body.push(b'\n');
    HttpResponse::Ok().content_type("text/plain").body(body)
}

/// Runs a claim, which is not idempotent, and answers how often it has run.
pub async fn claim(
    register: web::Data<RegisterHandle>,
    id: web::Path<String>,
    query: Query,
) -> HttpResponse {
    let runs = register.claim(Bytes::from(id.into_inner())).await;
    sleep(millis(&query, "ms", Duration::ZERO)).await;
    HttpResponse::Ok().body(format!("{runs}\n"))
}

/// Sends numbered lines until the caller goes away, or `lines` of them.
pub async fn feed(query: Query) -> HttpResponse {
    let interval = millis(&query, "ms", FEED_INTERVAL);
    let lines: u64 = query
        .get("lines")
        .and_then(|n| n.parse().ok())
        .unwrap_or(u64::MAX);
    let stream = unfold(0, move |line| async move {
        if line >= lines {
            return None;
        }
        if line > 0 {
            sleep(interval).await;
        }
        let text = Bytes::from(format!("{line}\n"));
        Some((Ok::<_, io::Error>(text), line + 1))
    });
    HttpResponse::Ok()
        .content_type("text/plain")
        .streaming(Box::pin(stream))
}

/// Answers after `ms` milliseconds.
pub async fn slow(name: web::Data<Name>, query: Query) -> HttpResponse {
    sleep(millis(&query, "ms", Duration::from_secs(1))).await;
    greet(name).await
}

/// Sheds load.
pub async fn shed() -> HttpResponse {
    HttpResponse::ServiceUnavailable()
        .insert_header(("retry-after", "1"))
        .insert_header(("limpet-outcome", "not-run"))
        .body("busy\n")
}

/// Breaks off in the middle of an answer.
pub async fn truncated() -> HttpResponse {
    let parts = stream::iter([
        Ok(Bytes::from_static(b"half of ")),
        Err(io::Error::other("broken off on purpose")),
    ]);
    HttpResponse::Ok().body(SizedStream::new(100, parts))
}

/// Takes a body and answers its length, once all of it has come.
pub async fn upload(mut body: web::Payload) -> HttpResponse {
    let mut len = 0;
    while let Some(part) = body.next().await {
        match part {
            Ok(part) => len += part.len(),
            Err(_) => return HttpResponse::BadRequest().finish(),
        }
    }
    HttpResponse::Ok().body(format!("{len}\n"))
}

/// Answers with the head of the request.
pub async fn head(req: HttpRequest) -> HttpResponse {
    let mut text = format!("{} {}\n", req.method(), req.uri());
    for (name, value) in req.headers() {
        let value = String::from_utf8_lossy(value.as_bytes());
        let _ = writeln!(text, "{name}: {value}");
    }
    HttpResponse::Ok().body(text)
}
