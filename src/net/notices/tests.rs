use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc::unbounded_channel;

/// Guards against a hundred senders that all retry every 50 ms: the backoff grows while the platform refuses, and the
/// notice is delivered once it accepts.
#[tokio::test]
async fn notices_to_a_refusing_platform_back_off() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (_move, address) = watch::channel(listener.local_addr().unwrap());
    let (to_run, queue) = unbounded_channel();
    let (host, mut received) = unbounded_channel();
    let notice = Notice { number: 3, id: "m3".to_owned(), end: FinalOutcome::Failed };
    assert!(to_run.send(notice).is_ok());
    tokio::spawn(run(address, queue, 1, host, Arc::default()));
    let began = std::time::Instant::now();
    let mut tries = 0;
    while received.is_empty() {
        let (mut stream, _) = timeout(Duration::from_secs(20), listener.accept()).await.unwrap().unwrap();
        let mut request = Vec::new();
        while !request.ends_with(b"}\n") && stream.read_buf(&mut request).await.unwrap() > 0 {}
        let refuses = began.elapsed() < Duration::from_secs(2);
        let status = if refuses { "503 Busy" } else { "204 No Content" };
        let answer = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(answer.as_bytes()).await.unwrap();
        tries += 1;
        if !refuses {
            break;
        }
    }
    assert!((3..=15).contains(&tries), "{tries} tries in two seconds");
    let acknowledged = timeout(Duration::from_secs(20), received.recv()).await.unwrap();
    assert!(matches!(acknowledged, Some(Input::Noticed(numbers)) if numbers == [3]));
}
