use super::*;

/// Guards against calls on connections that something on the way has dropped (case6958: half of those idle
/// for 0.2 s or more): what was idle for so long is not used, what is fresher is, and in time more is.
#[tokio::test(start_paused = true)]
async fn idle_connections_are_trusted_only_as_long_as_they_live() {
    let mut trust = IdleTrust::new();
    for n in 0..20 {
        trust.learn(None, n % 20 == 0);
        trust.learn(Some(Duration::from_millis(30)), n % 20 == 0);
        trust.learn(Some(Duration::from_millis(300)), n % 2 == 0);
    }
    assert_eq!(trust.limit(), Some(Duration::from_millis(200)));
    tokio::time::advance(Duration::from_secs(30)).await;
    trust.forget();
    assert_eq!(trust.limit(), None, "none broke for a while: tried again");
}
