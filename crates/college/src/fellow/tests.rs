use super::*;

/// Counts the bodies that it applied.
#[derive(Debug, Clone, PartialEq)]
struct Tally(u64);

impl Charge for Tally {
    fn preview(&self, _: &[u8]) -> Preview {
        Preview::Enter
    }
    fn apply(&mut self, _: &[u8]) -> Vec<u8> {
        self.0 += 1;
        self.0.to_be_bytes().to_vec()
    }
    fn snapshot(&self) -> Vec<u8> {
        self.0.to_be_bytes().to_vec()
    }
    fn restore(snapshot: &[u8]) -> Option<Self> {
        snapshot.try_into().ok().map(|bytes| Tally(u64::from_be_bytes(bytes)))
    }
}

fn voter(n: u16) -> Voter {
    Voter { address: Address::loopback(n), disk: DiskId(u128::from(n)) }
}

fn view(epoch: u64, chain: &[(u16, bool)]) -> View {
    View {
        epoch: ViewEpoch(epoch),
        chain: chain.iter().map(|(n, is_level)| Seat { voter: voter(*n), is_level: *is_level }).collect(),
        voters: (1..=3).map(voter).collect(),
    }
}

fn change(seq: u64, stamp: u64) -> Change {
    let ticket = Ticket { origin: Address::loopback(1), number: seq };
    Change { seq: Seq(seq), stamp: ViewEpoch(stamp), ticket, body: vec![1] }
}

fn fellow(n: u16, records: Vec<Record>) -> Fellow<Tally> {
    let founders = (1..=3).map(Address::loopback).collect();
    Fellow::new(voter(n), founders, Timing::default(), Kept { records }, Tally(0), Moment(10_000)).unwrap()
}

/// Has the fellow take a note and all its writes synced; gives what it sends.
fn tell(fellow: &mut Fellow<Tally>, at: u64, from: u16, note: Note) -> Vec<(u16, Note)> {
    let mut outputs = fellow.step(Moment(at), Input::Note { from: Address::loopback(from), note });
    let mut sent = vec![];
    while !outputs.is_empty() {
        let mut more = vec![];
        for output in outputs {
            match output {
                Output::Write { id, .. } => more.extend(fellow.step(Moment(at), Input::Written { id })),
                Output::Send { to, note } => sent.push((to.0.port(), note)),
                _ => {}
            }
        }
        outputs = more;
    }
    sent
}

fn grant_all(fellow: &mut Fellow<Tally>, at: u64) -> bool {
    let asks: Vec<Note> = fellow
        .step(Moment(at), Input::ClockEvent)
        .into_iter()
        .filter_map(|output| match output {
            Output::Send { note: note @ Note::LeaseAsk { .. }, .. } => Some(note),
            _ => None,
        })
        .collect();
    for ask in asks {
        let Note::LeaseAsk { view, round } = ask else { continue };
        for n in 1..=3 {
            tell(fellow, at, n, Note::LeaseGrant { view, round, disk: DiskId(u128::from(n)) });
        }
    }
    fellow.may_reply(Moment(at))
}

#[test]
fn one_that_missed_a_view_without_it_is_not_level_though_it_was_before() {
    let mut records = vec![Record::View { view: view(1, &[(1, true), (2, true), (3, true)]) }];
    records.push(Record::Change { change: change(1, 1) });
    let mut tail = fellow(3, records);
    // View 2 went on without 3; view 3 admits it again at the end.
    tell(&mut tail, 10_100, 2, Note::Decided { view: view(3, &[(1, true), (2, true), (3, false)]) });
    assert!(!grant_all(&mut tail, 10_200), "it replies, and lacks what view 2 replied to");
    tell(&mut tail, 10_300, 2, Note::Level { view: ViewEpoch(3), last: Seq(2) });
    assert!(!grant_all(&mut tail, 10_500));
    tell(&mut tail, 10_600, 2, Note::Pass { view: ViewEpoch(3), change: change(2, 2) });
    tell(&mut tail, 10_700, 2, Note::Level { view: ViewEpoch(3), last: Seq(2) });
    assert!(grant_all(&mut tail, 11_000));
}

#[test]
fn a_voter_keeps_its_word_to_the_tail_over_a_restart() {
    let records = vec![Record::View { view: view(1, &[(1, true), (2, true), (3, true)]) }];
    let mut voter = fellow(1, records);
    let round = Round { count: 9, proposer: 2 };
    let without_tail = Ballot { round, view: view(2, &[(1, true), (2, true)]) };
    let with_tail = Ballot { round, view: view(2, &[(1, true), (3, true)]) };
    let accepts = |fellow: &mut Fellow<Tally>, at: u64, from: u16, ballot: &Ballot| {
        let sent = tell(fellow, at, from, Note::Accept { ballot: ballot.clone() });
        sent.iter().any(|(_, note)| matches!(note, Note::Accepted { .. }))
    };
    assert!(!accepts(&mut voter, 10_500, 2, &without_tail), "it may have given its word before it restarted");
    assert!(accepts(&mut voter, 10_500, 2, &with_tail), "the tail stays: nothing to wait for");
    let mut voter = fellow(1, vec![Record::View { view: view(1, &[(1, true), (2, true), (3, true)]) }]);
    tell(&mut voter, 12_000, 3, Note::LeaseAsk { view: ViewEpoch(1), round: 1 });
    assert!(!accepts(&mut voter, 12_900, 2, &without_tail), "its word of 12000 holds until 13000");
    let sent = tell(&mut voter, 12_950, 3, Note::LeaseAsk { view: ViewEpoch(1), round: 2 });
    assert_eq!(sent, vec![], "while a view waits, no new word is given");
    assert!(accepts(&mut voter, 13_000, 2, &without_tail));
}

#[test]
fn nothing_leaves_before_it_is_synced() {
    let chain = [(1, true), (2, true), (3, true)];
    let mut middle = fellow(2, vec![Record::View { view: view(1, &chain) }]);
    let pass = Note::Pass { view: ViewEpoch(1), change: change(1, 1) };
    let outputs = middle.step(Moment(10_100), Input::Note { from: Address::loopback(1), note: pass });
    let [Output::Write { id, .. }] = outputs.as_slice() else { panic!("{outputs:?}") };
    let outputs = middle.step(Moment(10_200), Input::Written { id: *id });
    assert!(matches!(outputs.as_slice(), [Output::Send { to, note: Note::Pass { .. } }] if to.0.port() == 3));
    let prepare = Note::Prepare { instance: ViewEpoch(2), round: Round { count: 1, proposer: 1 } };
    let outputs = middle.step(Moment(10_300), Input::Note { from: Address::loopback(1), note: prepare });
    assert!(matches!(outputs.as_slice(), [Output::Write { .. }]), "{outputs:?}");
}

#[test]
fn a_disk_that_gives_back_gaps_or_bent_frames_is_not_served() {
    let gap = vec![Record::Change { change: change(1, 1) }, Record::Change { change: change(3, 1) }];
    let bent = vec![Record::Snapshot { last: Seq(5), stamp: ViewEpoch(1), body: vec![1, 2] }];
    for (records, fault) in [(gap, KeptFault::Gap(Seq(3))), (bent, KeptFault::Snapshot(Seq(5)))] {
        let made = Fellow::new(voter(1), vec![], Timing::default(), Kept { records }, Tally(0), Moment(0));
        assert_eq!(made.err(), Some(fault));
    }
}

#[test]
fn one_far_behind_takes_the_snapshot_by_pieces_and_then_changes() {
    let chain = [(1, true), (2, true)];
    let mut records = vec![Record::View { view: view(1, &chain) }];
    records.push(Record::Snapshot { last: Seq(40), stamp: ViewEpoch(1), body: 40u64.to_be_bytes().to_vec() });
    records.push(Record::Change { change: change(41, 1) });
    let mut tail = fellow(2, records);
    let mut behind = fellow(3, vec![Record::View { view: view(1, &chain) }, Record::Change { change: change(1, 1) }]);
    let (mut at, mut to_tail) = (10_000, vec![]);
    for _ in 0..40 {
        at += 100;
        let outputs = behind.step(Moment(at), Input::ClockEvent);
        to_tail.extend(outputs.into_iter().filter_map(|output| match output {
            Output::Send { to, note } if to.0.port() == 2 => Some(note),
            _ => None,
        }));
        while let Some(note) = to_tail.pop() {
            for (_, note) in tell(&mut tail, at, 3, note).into_iter().filter(|(to, _)| *to == 3) {
                to_tail.extend(tell(&mut behind, at, 2, note).into_iter().filter(|(to, _)| *to == 2).map(|(_, n)| n));
            }
        }
    }
    assert_eq!((behind.charge(), behind.state().last), (&Tally(41), Seq(41)));
}

#[test]
fn a_ballot_that_half_of_the_voters_accepted_and_nobody_finished_does_not_stop_the_core() {
    // Two of four back a view with another tail; its proposer is gone, and all four see each other again.
    let all = View { voters: (1..=4).map(voter).collect(), ..view(1, &[(1, true), (2, true), (3, true), (4, true)]) };
    let without_the_tail = View { voters: all.voters.clone(), ..view(2, &[(1, true), (2, true), (3, true)]) };
    let ballot = Ballot { round: Round { count: 7, proposer: 9 }, view: without_the_tail };
    let founders: Vec<Address> = (1..=4).map(Address::loopback).collect();
    let mut fellows: Vec<Fellow<Tally>> = (1..=4)
        .map(|n| {
            let mut records = vec![Record::View { view: all.clone() }];
            if n <= 2 {
                records.push(Record::Accepted { ballot: ballot.clone() });
            }
            let start = Moment(10_000);
            Fellow::new(voter(n), founders.clone(), Timing::default(), Kept { records }, Tally(0), start).unwrap()
        })
        .collect();
    let mut notes: VecDeque<(Address, Address, Note)> = VecDeque::new();
    for at in (10_000..20_000).step_by(25).map(Moment) {
        let mut inputs: Vec<(usize, Input)> = (0..4).map(|place| (place, Input::ClockEvent)).collect();
        while let Some((place, input)) = inputs.pop() {
            let from = founders[place];
            for output in fellows[place].step(at, input) {
                match output {
                    Output::Send { to, note } => notes.push_back((from, to, note)),
                    Output::Write { id, .. } => inputs.push((place, Input::Written { id })),
                    _ => {}
                }
            }
            if inputs.is_empty()
                && let Some((from, to, note)) = notes.pop_front()
            {
                inputs.push((usize::from(to.0.port()) - 1, Input::Note { from, note }));
            }
        }
        if fellows.iter().any(|fellow| fellow.may_reply(at)) && fellows[0].view().chain.len() == 4 {
            return;
        }
    }
    panic!("nobody may reply: {:?}", fellows.iter().map(Fellow::state).collect::<Vec<_>>());
}

/// A tail counts its lease from when it asked: a grant to an earlier life of its own is older than that.
#[test]
fn a_grant_to_an_earlier_life_of_the_tail_is_not_counted() {
    let records = vec![Record::View { view: view(1, &[(1, true), (2, true), (3, true)]) }];
    let asked = |tail: &mut Fellow<Tally>, at: u64| {
        let round = |output| match output {
            Output::Send { note: Note::LeaseAsk { round, .. }, .. } => Some(round),
            _ => None,
        };
        tail.step(Moment(at), Input::ClockEvent).into_iter().find_map(round).expect("it asks")
    };
    let mut tail = fellow(3, records.clone());
    let earlier = asked(&mut tail, 10_500);
    let founders = (1..=3).map(Address::loopback).collect();
    let mut tail =
        Fellow::new(voter(3), founders, Timing::default(), Kept { records }, Tally(0), Moment(13_000)).unwrap();
    let round = asked(&mut tail, 13_500);
    let grant_all = |tail: &mut Fellow<Tally>, round: u64| {
        for n in 1..=3 {
            tell(tail, 13_510, n, Note::LeaseGrant { view: ViewEpoch(1), round, disk: DiskId(u128::from(n)) });
        }
        tail.may_reply(Moment(13_510))
    };
    assert!(!grant_all(&mut tail, earlier));
    assert!(grant_all(&mut tail, round));
}

/// Fellows that write at once and lose no letter but those to and from the `down`.
struct Played {
    fellows: BTreeMap<u16, Fellow<Tally>>,
    at: u64,
}

impl Played {
    fn new(founders: &[u16]) -> Self {
        let mut played = Played { fellows: BTreeMap::new(), at: 10_000 };
        founders.iter().for_each(|n| played.start(*n, u128::from(*n), founders, vec![]));
        played
    }
    fn start(&mut self, n: u16, disk: u128, known: &[u16], records: Vec<Record>) {
        let me = Voter { address: Address::loopback(n), disk: DiskId(disk) };
        let known = known.iter().map(|n| Address::loopback(*n)).collect();
        let now = Moment(self.at);
        let fellow = Fellow::new(me, known, Timing::default(), Kept { records }, Tally(0), now).unwrap();
        self.fellows.insert(n, fellow);
    }
    /// Plays this long; gives the records that each wrote.
    fn run(&mut self, span: u64) -> BTreeMap<u16, Vec<Record>> {
        let mut written: BTreeMap<u16, Vec<Record>> = BTreeMap::new();
        for _ in 0..span / 25 {
            self.at += 25;
            let mut inputs: VecDeque<(u16, Input)> = self.fellows.keys().map(|n| (*n, Input::ClockEvent)).collect();
            while let Some((n, input)) = inputs.pop_front() {
                let Some(fellow) = self.fellows.get_mut(&n) else { continue };
                for output in fellow.step(Moment(self.at), input) {
                    match output {
                        Output::Send { to, note } => {
                            inputs.push_back((to.0.port(), Input::Note { from: Address::loopback(n), note }));
                        }
                        Output::Write { id, records, .. } => {
                            written.entry(n).or_default().extend(records);
                            inputs.push_back((n, Input::Written { id }));
                        }
                        _ => {}
                    }
                }
            }
        }
        written
    }
    fn chain(&self) -> Vec<(u16, u128)> {
        let newest = self.fellows.values().map(Fellow::view).max_by_key(|view| view.epoch).unwrap();
        newest.chain.iter().map(|seat| (seat.voter.address.0.port(), seat.voter.disk.0)).collect()
    }
}

#[test]
fn any_majority_of_founders_founds_and_one_that_comes_back_empty_takes_its_place_later() {
    for lost in 1..=3 {
        let mut played = Played::new(&[1, 2, 3]);
        played.fellows.remove(&lost);
        played.run(1000);
        // Back with an empty disk, and not told that it is a founder.
        let others: Vec<u16> = (1..=3).filter(|n| *n != lost).collect();
        played.start(lost, 77, &others, vec![]);
        played.run(6000);
        let mut chain = played.chain();
        chain.sort_unstable();
        let wanted = (1..=3u16).map(|n| (n, if n == lost { 77 } else { u128::from(n) })).collect::<Vec<_>>();
        assert_eq!(chain, wanted, "without {lost}");
    }
}

#[test]
fn those_that_come_back_empty_and_are_not_told_found_nothing_with_fewer_than_most() {
    let mut played = Played::new(&[1, 2, 3]);
    played.start(1, 71, &[2, 3], vec![]);
    played.start(2, 72, &[1, 3], vec![]);
    played.run(8000);
    assert_eq!(played.chain(), []);
}

#[test]
fn a_founder_whose_disk_says_so_founds_whatever_it_is_told_later() {
    let mut played = Played::new(&[1, 2, 3]);
    played.fellows.remove(&3);
    let written = played.run(25);
    assert_eq!(played.chain(), []);
    played.fellows.clear();
    played.start(1, 1, &[2, 3], written[&1].clone());
    played.start(2, 2, &[1, 3], written[&2].clone());
    played.run(3000);
    assert_eq!(played.chain(), [(1, 1), (2, 2)]);
}

#[test]
fn what_a_shrunk_chain_has_on_too_few_disks_is_not_settled() {
    let mut head = fellow(1, vec![Record::View { view: view(1, &[(1, true), (2, true), (3, true)]) }]);
    let ticket = Ticket { origin: Address::loopback(1), number: 1 };
    let propose = Note::Propose { ticket, body: vec![1] };
    let outputs = head.step(Moment(10_100), Input::Note { from: Address::loopback(1), note: propose.clone() });
    let id = outputs.iter().find_map(|output| match output {
        Output::Write { id, .. } => Some(*id),
        _ => None,
    });
    tell(&mut head, 10_150, 2, Note::Decided { view: view(2, &[(1, true)]) });
    let outputs = head.step(Moment(10_200), Input::Written { id: id.expect("a write") });
    assert!(!outputs.iter().any(|output| matches!(output, Output::Settled { .. })), "{outputs:?}");
    let outputs = head.step(Moment(10_300), Input::Note { from: Address::loopback(1), note: propose });
    assert!(!outputs.iter().any(|output| matches!(output, Output::Write { .. })), "{outputs:?}");
}
