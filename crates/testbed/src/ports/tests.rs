use super::*;
use std::collections::BTreeSet;

/// Guards against the port of a process that is down being given to one that is added later: the later one then ended
/// with bad settings as the former came back.
#[test]
fn each_port_is_given_once_in_however_many_calls() {
    let given: Vec<u16> = (0..50)
        .flat_map(|call| free_ports(call % 3 + 1).expect("ports are left"))
        .collect();
    let distinct: BTreeSet<u16> = given.iter().copied().collect();
    assert_eq!(distinct.len(), given.len(), "{given:?}");
    assert!(given.iter().all(|port| PORTS.contains(port)));
}

#[test]
fn ports_in_use_are_passed_over_and_an_error_says_that_none_is_left() {
    let ports = loop {
        let ports = free_ports(3).expect("ports are left");
        // Not those where the range is continued at its start.
        if ports.is_sorted() {
            break ports;
        }
    };
    let (in_use, free) = (ports[1], [ports[0], ports[2]]);
    let range = ports[0]..ports[2] + 1;
    let _listener = TcpListener::bind((Ipv4Addr::LOCALHOST, in_use)).expect("it's free");
    let mut allocator = PortAllocator::new(range, 1);
    let mut given = vec![];
    while let Ok(port) = allocator.allocate() {
        given.push(port);
    }
    assert!(!given.contains(&in_use), "{given:?}");
    assert!(free.iter().all(|port| given.contains(port)), "{given:?}");
    let error = allocator.allocate().expect_err("each was given");
    assert_eq!(error.kind(), io::ErrorKind::AddrInUse);
}
