use super::*;

/// Guards against calls on connections that a middlebox has dropped (case6958: half of those idle for 0.2 s or more):
/// connections idle for longer are not reused, fresher ones are, and longer idle times are tried again later.
#[tokio::test(start_paused = true)]
async fn the_idle_limit_follows_broken_connections_and_decays() {
    let mut trust = IdleTrust::new();
    for n in 0..20 {
        trust.learn(None, n % 20 == 0);
        trust.learn(Some(Duration::from_millis(30)), n % 20 == 0);
        trust.learn(Some(Duration::from_millis(300)), n % 2 == 0);
    }
    assert_eq!(trust.limit(), Some(Duration::from_millis(200)));
    tokio::time::advance(Duration::from_secs(30)).await;
    trust.forget();
    assert_eq!(trust.limit(), None, "the limit ends after a time without broken connections");
}
