/** The committed facts of a controller's view, as packages read them. */
import type { Changes } from '../core/changes.js';
import { key } from '../core/keys.js';
import { nodeName, type JobId, type MachineName, type MachineRecord, type NodeName } from '../core/types.js';
import type { Context } from '../controller/context.js';
import type { CommittedFacts, SessionFact, SliceFact } from './api.js';

/** Reads the view of one controller. */
export class ViewFacts implements CommittedFacts {
  constructor(private readonly ctx: Context) {}

  get isReady(): boolean {
    return this.ctx.follower.ready;
  }

  slices(): SliceFact[] {
    return [...this.ctx.view.slices.keys()].map((name) => this.slice(nodeName(name))!);
  }

  slice(name: NodeName): SliceFact | null {
    const { view } = this.ctx;
    const record = view.slices.get(name);
    if (record === undefined) return null;
    return {
      slice: name,
      holder: record.holder,
      incarnation: record.incarnation,
      epoch: view.versionOf(key.slice(name)),
      hasSession: view.sessions.get(record.holder)?.incarnation === record.incarnation,
    };
  }

  sessions(): SessionFact[] {
    return [...this.ctx.view.sessions.values()].map((s) => ({
      node: s.node,
      incarnation: s.incarnation,
      isDraining: s.draining === true,
    }));
  }

  machine(name: MachineName): MachineRecord | null {
    return this.ctx.view.machines.get(name) ?? null;
  }

  machinesOf(slice: NodeName): MachineRecord[] {
    return [...this.ctx.view.machines.values()].filter((m) => m.owner === slice);
  }

  hasJob(job: JobId): boolean {
    return this.ctx.view.jobs.has(job);
  }

  isHeldCompletely(slice: NodeName): boolean {
    return this.ctx.view.isHeldBy(slice, this.ctx.incarnation);
  }

  isStateReachable(withinMs: number): boolean {
    return this.ctx.state.reachable(withinMs);
  }

  subscribe(listener: (changes: Changes) => void): void {
    this.ctx.listeners.push(listener);
  }
}
