//! A fake HTTP/3 service.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use h3::{error::Code, server::RequestStream};
use http::{Request, Response};
use quinn::crypto::rustls::QuicServerConfig;
use rustls::pki_types::{PrivateKeyDer, PrivatePkcs8KeyDer};

type Stream = RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;

/// Starts the service, which runs until the test process ends. Returns its
/// address and its certificate in PEM.
pub fn service() -> (SocketAddr, String) {
    let issued = rcgen::generate_simple_self_signed(["vouchers.example".to_owned()]).unwrap();
    let pem = issued.cert.pem();
    let (tx, rx) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        actix_web::rt::System::new().block_on(async move {
            let endpoint =
                quinn::Endpoint::server(config(&issued), "127.0.0.1:0".parse().unwrap()).unwrap();
            tx.send(endpoint.local_addr().unwrap()).unwrap();
            while let Some(incoming) = endpoint.accept().await {
                let connection = incoming.await.unwrap();
                actix_web::rt::spawn(serve(connection));
            }
        });
    });
    (rx.recv().unwrap(), pem)
}

fn config(issued: &rcgen::CertifiedKey<rcgen::KeyPair>) -> quinn::ServerConfig {
    let key = PrivateKeyDer::from(PrivatePkcs8KeyDer::from(issued.signing_key.serialize_der()));
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .unwrap()
        .with_no_client_auth()
        .with_single_cert(vec![issued.cert.der().clone()], key)
        .unwrap();
    tls.alpn_protocols = vec![b"h3".to_vec()];
    quinn::ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(tls).unwrap()))
}

async fn serve(connection: quinn::Connection) {
    let io = h3_quinn::Connection::new(connection.clone());
    let mut h3 = h3::server::Connection::new(io).await.unwrap();
    while let Ok(Some(resolver)) = h3.accept().await {
        let (req, stream) = resolver.resolve_request().await.unwrap();
        actix_web::rt::spawn(answer(req, stream, connection.clone()));
    }
}

async fn answer(req: Request<()>, mut stream: Stream, connection: quinn::Connection) {
    let mut body = Vec::new();
    while let Some(part) = stream.recv_data().await.unwrap() {
        use bytes::Buf;
        body.extend_from_slice(part.chunk());
    }
    let path = req.uri().path();
    match path {
        "/rejected" => return stream.stop_stream(Code::H3_REQUEST_REJECTED),
        "/reset" => return stream.stop_stream(Code::H3_INTERNAL_ERROR),
        "/closed" => return connection.close(0_u32.into(), b""),
        "/silent" => return actix_web::rt::time::sleep(Duration::from_mins(1)).await,
        _ => {}
    }
    let response = match path {
        "/not-run" => Response::builder()
            .status(503)
            .header("limpet-outcome", "not-run"),
        "/unknown" => Response::builder()
            .status(504)
            .header("limpet-outcome", "unknown"),
        "/moved" => Response::builder().status(307),
        "/missing" => Response::builder().status(404),
        _ => Response::builder().status(200),
    };
    stream
        .send_response(response.body(()).unwrap())
        .await
        .unwrap();
    let timeout = req.headers().get("limpet-timeout-ms");
    let timeout: u64 = timeout.unwrap().to_str().unwrap().parse().unwrap();
    let text = format!(
        "{} {path} x={:?} timeout in range {} body {}\n",
        req.method(),
        req.headers().get("x"),
        (1..=2000).contains(&timeout),
        String::from_utf8(body).unwrap(),
    );
    stream.send_data(text.into()).await.unwrap();
    if path == "/cut" {
        // Lets the first part arrive before the stream is reset.
        actix_web::rt::time::sleep(Duration::from_millis(200)).await;
        return stream.stop_stream(Code::H3_INTERNAL_ERROR);
    }
    let _ = stream.finish().await;
}
