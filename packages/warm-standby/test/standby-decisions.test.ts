/**
 * Failure domains, placement of standbys, failure detection and failover decisions, without I/O. Guards against standbys that
 * fail together with their holder or are placed differently by each controller, and against failovers of live holders, from
 * a suspicion that is too early or confirmed by no other controller.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { readPlatformSettings } from '../../../src/config/platform-settings.js';
import { nodeName, type NodeName } from '../../../src/core/model/ids.js';
import { configurePlugin } from '../../../src/plugin-host/plugin-loader.js';
import { platformSettings } from '../../../test/samples.js';
import { Backoff } from '../src/backoff.js';
import { ByteBudget } from '../src/byte-budget.js';
import { decideFailover, type FailoverInput } from '../src/failover-policy.js';
import { FailureDomainError, FailureDomains } from '../src/failure-domains.js';
import { servicePackage } from '../src/index.js';
import { PhiAccrualDetector } from '../src/phi-accrual.js';
import { placeStandbys } from '../src/standby-placement.js';

const domainsOf = (...networks: [string, string[]][]) =>
  new FailureDomains(networks.map(([name, list]) => ({ name, networks: list })));

describe('failure domains', () => {
  it('the longest matching prefix decides the domain of IPv4, IPv6 and IPv4-mapped addresses', () => {
    const domains = domainsOf(
      ['wide', ['10.0.0.0/8', 'fd00::/16']],
      ['rack', ['10.1.2.0/24', 'fd00:1::/32']],
    );
    assert.equal(domains.domainOf('10.9.9.9'), 'wide');
    assert.equal(domains.domainOf('10.1.2.3'), 'rack');
    assert.equal(domains.domainOf('::ffff:10.1.2.3'), 'rack');
    assert.equal(domains.domainOf('fd00:1::5'), 'rack');
    assert.equal(domains.domainOf('fd00:2::5'), 'wide');
    assert.equal(domains.domainOf('192.168.0.1'), null);
    assert.equal(domains.accepts('192.168.0.1'), false);
    assert.equal(
      domainsOf().accepts('192.168.0.1'),
      true,
      'without configured networks every address is accepted',
    );
  });

  it('invalid networks are reported with their path and the reason', () => {
    const invalidNetworks: [[string, string[]][], RegExp][] = [
      [[['a', ['10.0.0.0/33']]], /failure_domains\.0\.networks\.0: .*not a network/],
      [[['a', ['10.0.0.0']]], /not a network/],
      [[['a', ['10.0.0.1/24']]], /bits beyond its prefix, 10\.0\.0\.0\/24/],
      [[['a', ['10.0.0.0/24', '10.0.0.0/24']]], /networks\.1: .*stands in domain "a" already/],
      [
        [
          ['a', ['10.0.0.0/24']],
          ['b', ['10.0.0.0/24']],
        ],
        /failure_domains\.1\.networks\.0: .*domain "a"/,
      ],
      [
        [
          ['a', ['10.0.0.0/24']],
          ['a', ['10.0.1.0/24']],
        ],
        /failure_domains\.1\.name: .*twice/,
      ],
    ];
    for (const [networks, message] of invalidNetworks)
      assert.throws(
        () => domainsOf(...networks),
        (e: unknown) => e instanceof FailureDomainError && message.test(e.message),
      );
  });
});

describe('options', () => {
  it('invalid options are rejected at the start with their path and the reason', () => {
    const settings = readPlatformSettings(platformSettings);
    const expectRejected = (options: object, message: RegExp) => {
      assert.throws(() => configurePlugin('warm_standby', servicePackage, options, settings), message);
    };
    expectRejected({ degree: 3 }, /packages\.warm_standby\.degree: 3, and there are 2/);
    expectRejected({ degree: -1 }, /packages\.warm_standby\.degree/);
    expectRejected({ replication: { heart: 1 } }, /packages\.warm_standby\.replication\.heart/);
    expectRejected({ detection: { phi: 0 } }, /packages\.warm_standby\.detection\.phi/);
    expectRejected(
      { failure_domains: [{ name: 'a', networks: ['10.7.0.0/16'] }] },
      /packages\.warm_standby\.failure_domains: 10\.0\.0\.1 of c-0 is in none/,
    );
    configurePlugin('warm_standby', servicePackage, {}, settings);
  });
});

const nodes = [...Array(9).keys()].map((i) => nodeName(`c-${i}`));
const threeDomains = new Map(nodes.map((node, i) => [node as string, `d-${i % 3}`]));
const place = (shard: NodeName, holder: NodeName, candidates: readonly NodeName[], degree = 2) =>
  placeStandbys({ shard, holder, candidates, domainOf: threeDomains, degree });

describe('placement of standbys', () => {
  it("a shard's holder and standbys are in different domains, and every controller computes the same standbys", () => {
    for (const shard of nodes) {
      const standbys = place(shard, shard, nodes);
      assert.equal(standbys.length, 2);
      assert.equal(new Set([shard, ...standbys].map((node) => threeDomains.get(node))).size, 3);
      assert.deepEqual(place(shard, shard, [...nodes].reverse()), standbys);
    }
    assert.deepEqual(
      place(nodes[0]!, nodes[0]!, [nodes[0]!, nodes[3]!]),
      [],
      'no standby in the domain of the holder',
    );
  });

  it('a controller that joins or leaves changes the standby only of shards whose standby it is', () => {
    fc.assert(
      fc.property(fc.subarray(nodes, { minLength: 2 }), fc.constantFrom(...nodes), (candidates, removed) => {
        for (const shard of nodes) {
          const before = place(shard, shard, candidates, 1);
          const after = place(
            shard,
            shard,
            candidates.filter((node) => node !== removed),
            1,
          );
          if (!before.includes(removed)) assert.deepEqual(after, before);
        }
      }),
      { seed: 3 },
    );
  });
});

describe('detection of failures', () => {
  it('suspicion grows with silence, later for an irregular sender, and stays 0 with a short history', () => {
    const phiAfterIntervals = (intervals: readonly number[]) => {
      const phi = new PhiAccrualDetector(3000);
      let at = 0;
      phi.recordArrival(at);
      for (const ms of intervals) phi.recordArrival((at += ms));
      return (silenceMs: number) => phi.phi(at + silenceMs);
    };
    const regular = phiAfterIntervals(Array<number>(50).fill(300));
    const irregular = phiAfterIntervals([...Array(50).keys()].map((i) => (i % 2 === 0 ? 100 : 900)));
    assert.ok(regular(300) < 1);
    assert.ok(regular(1000) > 8);
    assert.ok(irregular(1000) < 2);
    assert.ok(irregular(5000) > 8);
    for (let ms = 0; ms < 20_000; ms += 50)
      assert.ok(regular(ms + 50) >= regular(ms), 'phi does not fall while the silence grows');
    assert.equal(phiAfterIntervals([300, 300])(60_000), 0);
  });

  it("silence during a failure does not enter the detector's history", () => {
    const phi = new PhiAccrualDetector(2400);
    let at = 0;
    for (let i = 0; i < 50; i++) phi.recordArrival((at += 300));
    phi.recordArrival((at += 60_000));
    for (let i = 0; i < 5; i++) phi.recordArrival((at += 300));
    assert.ok(phi.phi(at + 1200) > 8);
  });
});

const defaultInput: FailoverInput = {
  isWarm: true,
  applied: 10,
  holderAnswers: false,
  witnesses: [{ node: nodeName('c-2'), reaches: false, applied: null }],
  witnessesNeeded: 1,
  rank: 0,
  confirmedForMs: 0,
  rankDelayMs: 700,
  backoffLeftMs: 0,
  isStateReachable: true,
};
const witness = (reaches: boolean | null, applied: number | null = null) => ({
  node: nodeName('c-2'),
  reaches,
  applied,
});

describe('failover decisions, backoff and byte budget', () => {
  it("a failover needs confirmation by another controller, a warm replica, a reachable state service and its rank's turn", () => {
    const outcomeOf = (over: Partial<FailoverInput>) => {
      const decision = decideFailover({ ...defaultInput, ...over });
      return decision.kind === 'fail_over' ? 'fail_over' : decision.reason;
    };
    assert.equal(outcomeOf({}), 'fail_over');
    assert.equal(outcomeOf({ holderAnswers: true }), 'holder_answers');
    assert.equal(outcomeOf({ witnesses: [witness(false), witness(true)] }), 'holder_reached_by_another');
    assert.equal(outcomeOf({ witnesses: [witness(null)] }), 'no_witness');
    assert.equal(outcomeOf({ witnesses: [] }), 'no_witness');
    assert.equal(outcomeOf({ witnesses: [], witnessesNeeded: 0 }), 'fail_over');
    assert.equal(outcomeOf({ isWarm: false }), 'not_warm');
    assert.equal(outcomeOf({ backoffLeftMs: 1 }), 'backoff');
    assert.equal(outcomeOf({ isStateReachable: false }), 'state_unreachable');
    assert.equal(outcomeOf({ witnesses: [witness(false, 11)] }), 'fresher_standby');
    assert.equal(
      outcomeOf({ witnesses: [witness(false, 10)] }),
      'fail_over',
      'of equally fresh standbys the first in order takes the shard',
    );
    assert.equal(outcomeOf({ rank: 1 }), 'not_first');
    assert.equal(
      outcomeOf({ rank: 1, confirmedForMs: 700 }),
      'fail_over',
      'the first standby in order may have failed as well',
    );
    assert.equal(outcomeOf({ rank: 2, confirmedForMs: 700 }), 'not_first');
  });

  it('the backoff between failovers doubles up to its maximum and resets after a quiet period', () => {
    const backoff = new Backoff({ backoff_ms: 1000, longest_backoff_ms: 4000, calm_ms: 60_000 }, () => 0.5);
    const delays = [0, 10_000, 20_000, 30_000, 100_000].map((at) => {
      backoff.recordFailover(at);
      return backoff.remainingMs(at);
    });
    assert.deepEqual(delays, [1000, 2000, 4000, 4000, 1000]);
    assert.equal(backoff.failoverCount, 5);
  });

  it('the byte budget holds the bytes of one second, may be overdrawn, and refills', () => {
    const budget = new ByteBudget(1000);
    assert.equal(budget.available(0), 1000);
    budget.spend(1500);
    assert.ok(budget.available(100) < 0);
    assert.equal(budget.available(600), 100);
    assert.equal(budget.available(60_000), 1000);
  });
});
