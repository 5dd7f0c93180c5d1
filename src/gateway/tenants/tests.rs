use super::*;

#[test]
fn an_object_stays_on_its_rack_when_another_rack_is_removed() {
    let mut tenant = Tenant {
        name: "uni".into(),
        plan: PlanIndex(0),
        volumes: vec![],
        racks: vec!["r1".into(), "r2".into(), "r3".into()],
        token_hash: TokenHash::of("t"),
    };
    let keys: Vec<String> = (0..60).map(|n| format!("k{n}")).collect();
    let original_racks: Vec<_> =
        keys.iter().map(|k| tenant.rack_for_object("b", k).unwrap().clone()).collect();
    assert!(tenant.racks.iter().all(|r| original_racks.contains(r)));
    tenant.racks.reverse();
    tenant.racks.retain(|r| r != "r2");
    for (key, rack) in keys.iter().zip(original_racks).filter(|(_, rack)| rack != "r2") {
        assert_eq!(*tenant.rack_for_object("b", key).unwrap(), rack);
    }
}
