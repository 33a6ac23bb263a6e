use crate::workload::{Workload, WorkloadKind};

#[test]
fn a_seed_gives_the_same_traffic_at_the_rates_asked_for() {
    let play = |seed| {
        let (mut workload, mut at, mut drafts, mut ids) =
            (Workload::new(WorkloadKind::Pahana, seed), 0.0, 0, vec![]);
        for _ in 0..12_500 {
            let (gap, planned) = workload.next(at, 1.0);
            at += gap;
            drafts += u32::from(planned.service == "drafts");
            ids.push(planned.id);
        }
        (at, drafts, ids)
    };
    let (at, drafts, ids) = play(7);
    assert!(
        (95_000.0..105_000.0).contains(&at),
        "12500 requests at 125 a second took {at} ms"
    );
    assert!((1850..2150).contains(&drafts));
    assert_eq!(play(7).2, ids);
}
