/** Random sequences of faults with warm standbys: the invariants are checked after each step, and in the end no job is lost. */
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { expectAllJobsFinish, runUntilBusy } from '../../../test/sim/fault-scenario.js';
import { injectFaults } from '../../../test/sim/faults.js';
import { advance, allControllers } from '../../../test/sim/run-helpers.js';
import type { Dependency, SimulatedController } from '../../../test/sim/simulated-controller.js';
import { handover, standby } from './standbys.js';

/** Sequences of faults of one controller each; they may overlap. */
const faults = fc.array(
  fc.record({
    kind: fc.constantFrom('kill', 'pause', 'cut_peers', 'cut_state', 'cut_off', 'handover'),
    node: fc.nat(2),
    afterMs: fc.integer({ min: 0, max: 3000 }),
    forMs: fc.integer({ min: 50, max: 9000 }),
  }),
  { minLength: 1, maxLength: 6 },
);

function beginFault(node: SimulatedController, kind: string): () => void {
  const partition = (...from: Dependency[]) => {
    for (const dependency of from) node.unreachable.add(dependency);
    return () => {
      for (const dependency of from) node.unreachable.delete(dependency);
    };
  };
  switch (kind) {
    case 'kill':
      if (node.controller === null) return () => undefined;
      node.crash();
      return () => {
        if (node.controller === null) node.start();
      };
    case 'pause':
      node.clock.pause();
      return () => {
        node.clock.resume();
      };
    case 'cut_peers':
      return partition('peers');
    case 'cut_state':
      return partition('state');
    case 'cut_off':
      return partition('state', 'workers', 'peers');
    default:
      if (node.controller !== null) void handover(node).catch(() => undefined);
      return () => undefined;
  }
}

describe('invariants through random faults with warm standbys', () => {
  it('any sequence of faults violates no invariant and loses no job', async () => {
    await fc.assert(
      fc.asyncProperty(faults, async (list) => {
        const simulation = await runUntilBusy(5, undefined, standby({ degree: 2 }));
        const ended: (() => void)[] = [];
        for (const { kind, node, afterMs, forMs } of list) {
          await advance(simulation, afterMs);
          const end = beginFault(allControllers(simulation)[node]!, kind);
          ended.push(end);
          simulation.time.after(forMs, end);
        }
        await advance(simulation, 9000);
        for (const end of ended) end();
        for (const node of allControllers(simulation)) {
          node.clock.resume();
          node.unreachable.clear();
          if (node.controller === null) node.start();
        }
        await expectAllJobsFinish(simulation);
      }),
      { seed: 11, numRuns: 6, endOnFailure: true },
    );
  });

  it('overlapping random faults violate no invariant and lose no job', async () => {
    for (const seed of [21, 22, 23, 24]) {
      const simulation = await runUntilBusy(seed, undefined, standby({ degree: 2 }));
      try {
        simulation.isSmooth = false;
        injectFaults(simulation, 60_000);
        await simulation.time.runUntil(64_000);
        await advance(simulation, 22_000);
        await expectAllJobsFinish(simulation);
      } catch (e) {
        if (e instanceof Error)
          e.message = `seed ${seed} at ${simulation.time.now.toFixed(0)} ms: ${e.message}`;
        throw e;
      }
    }
  });
});
