use super::*;
use crate::peers::schedule::Fault;

fn met(kind: Kind, senders: &[usize], to: &[usize], size: f64) -> Met {
    let fault = Fault { kind, at_s: 0.0, for_s: 1.0, senders: String::new(), to: None, size };
    Met { fault, senders: senders.to_vec(), to: to.to_vec() }
}

/// Each direction of each pair meets its own faults, several add up, and none is left when they are over.
#[tokio::test]
async fn a_way_meets_the_faults_of_its_direction() {
    let (links, _ends) = Links::new(3, 1).await.unwrap();
    links.begin(0, met(Kind::Cut, &[0], &[1], 0.0));
    links.begin(1, met(Kind::Lossy, &[2], &[], 0.5));
    links.begin(2, met(Kind::Lossy, &[2], &[], 0.5));
    assert!(links.link_state(0, 1).cut && !links.link_state(1, 0).cut);
    assert_eq!(
        (links.link_state(0, 2).lost, links.link_state(2, 1).lost, links.link_state(0, 1).lost),
        (0.75, 0.75, 0.0)
    );
    (0..3).for_each(|number| links.end(number));
    assert_eq!(links.link_state(0, 1), LinkState::default());
}

/// A datagram and a frame pass, told by their source; what is cut does not pass, and a connection breaks.
#[tokio::test]
async fn what_is_cut_does_not_pass() {
    let (links, ends) = Links::new(2, 1).await.unwrap();
    for ends in ends {
        tokio::spawn(links.clone().carry(ends));
    }
    let theirs = UdpSocket::bind(links.own(1)).await.unwrap();
    let listener = TcpListener::bind(links.own(1)).await.unwrap();
    let ours = UdpSocket::bind(links.own(0)).await.unwrap();
    ours.send_to(b"one", links.advertised[1]).await.unwrap();
    let mut buffer = [0; 16];
    assert_eq!(theirs.recv(&mut buffer).await.unwrap(), 3);
    links.begin(0, met(Kind::Cut, &[0], &[1], 0.0));
    ours.send_to(b"lost", links.advertised[1]).await.unwrap();
    while links.carried.dropped.load(Ordering::Relaxed) == 0 {
        sleep(POLL_INTERVAL).await;
    }
    links.end(0);
    ours.send_to(b"again", links.advertised[1]).await.unwrap();
    assert_eq!(theirs.recv(&mut buffer).await.unwrap(), 5, "the cut one never comes");

    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind(SocketAddr::new(links.own(0).ip(), 0)).unwrap();
    let mut stream = socket.connect(links.advertised[1]).await.unwrap();
    stream.write_all(b"frame").await.unwrap();
    let (mut taken, _) = listener.accept().await.unwrap();
    taken.read_exact(&mut buffer[..5]).await.unwrap();
    links.begin(1, met(Kind::Reset, &[0], &[], 1.0));
    stream.write_all(b"frame").await.unwrap();
    assert!(stream.read(&mut buffer).await.is_err(), "the connection breaks under it");
}
