/** Tells machines that have failed from machines that the network keeps from their owner. */
import { AGENT_ANSWER_TIMEOUT_MS } from '../../core/agents/agent-session.js';
import type { AgentSession } from '../../core/agents/agent-session.js';
import type { Zone } from '../../core/model/ids.js';
import type { MachineRecord } from '../../core/model/machines.js';
import type { ControllerContext } from '../controller-context.js';
import type { AgentSessions } from './agent-sessions.js';

/** A worker turns to the next controller so long after it got no answer. */
const NEXT_CONTROLLER_MS = 1000;
/** What one controller that does not answer costs a worker. */
const HOP_MS = AGENT_ANSWER_TIMEOUT_MS + NEXT_CONTROLLER_MS;
/** Delays of the network and of busy processes, beside one hop and beside several. */
const HOP_SLACK_MS = 1500;
const FULL_CYCLE_SLACK_MS = 3000;
/** Reports come every `report_s`, give or take a quarter. */
const MAX_HEARTBEAT_JITTER = 1.25;
/** Heard within so many report intervals, a machine counts as there. */
export const FRESH_HEARTBEAT_INTERVALS = 2;
/** That so many others of a zone are silent, too, is no chance. */
const MIN_CORRELATED_PEERS = 3;
/** Without an answer of the state service for so long nothing is concluded. */
const STATE_FRESH_MS = 1000;

/** How many of an owner's machines there are in a zone, and whether any of them was heard all along and of late. */
export interface ZoneReachability {
  readonly machines: number;
  readonly isResponding: boolean;
}

/** What is heard of each zone now; worked out once a pass, since a silent zone has many machines to judge. */
export function zoneReachability(
  context: ControllerContext,
  sessions: AgentSessions,
): ReadonlyMap<Zone, ZoneReachability> {
  const zones = new Map<Zone, { machines: number; isResponding: boolean }>();
  const { report_s } = context.settings.workers;
  const now = context.clock.now();
  for (const machine of context.ownership.ownedMachines()) {
    if (machine.phase === 'booting') continue;
    const zone = zones.get(machine.zone) ?? { machines: 0, isResponding: false };
    zones.set(machine.zone, zone);
    zone.machines++;
    const { lastContactAt, uninterruptedSince } = sessions.of(machine);
    const steady = uninterruptedSince !== null && now - uninterruptedSince > failoverDelayMs(report_s, 1);
    zone.isResponding ||= steady && now - lastContactAt < report_s * 1000 * FRESH_HEARTBEAT_INTERVALS;
  }
  return zones;
}

/** A worker that reports to nobody of so many controllers in turn is at the next one after so long. */
const failoverDelayMs = (reportS: number, hops: number): number =>
  MAX_HEARTBEAT_JITTER * reportS * 1000 + hops * HOP_MS + HOP_SLACK_MS;

/**
 * Whether the machine was not heard for so long that a worker with nothing but its owner out of reach would have turned
 * to another controller by now, and none has written that it did. Silence proves nothing: what follows from it is that
 * the machine is returned, and only the cloud's answer to that frees its tasks.
 */
export function isUnreachable(
  context: ControllerContext,
  machine: MachineRecord,
  memory: AgentSession,
  zones: () => ReadonlyMap<Zone, ZoneReachability>,
): boolean {
  if (machine.phase === 'releasing' || context.ownership.proxyOf(machine) !== null) return false;
  if (machine.phase === 'booting' && memory.heartbeat === null) return false;
  if (!context.state.isReachable(STATE_FRESH_MS)) return false;
  const { report_s, lease_s } = context.settings.workers;
  const reportMs = report_s * 1000;
  const now = context.clock.now();
  const quietMs = now - memory.lastContactAt;
  // A worker that has not reported to this owner yet may have to try every other controller first.
  const hops = memory.lastPushedAt === null ? context.settings.nodes : 1;
  if (quietMs < failoverDelayMs(report_s, hops)) return false;
  // Where its whole zone is silent, or it is alone there, the network is the more likely cause: then time is given to
  // try every controller, one after the other, and to be written down by one of them. Only those count that were heard
  // all along: when a cut ends, the first that is back says nothing about the others.
  const zone = zones().get(machine.zone);
  if (zone?.isResponding === true) return true;
  const others = (zone?.machines ?? 0) - (machine.phase === 'booting' ? 0 : 1);
  // And another lease: until then its machines may be back at once, while new ones must boot and fetch. Where several
  // are silent together it is hardly they that failed, and what would replace them needs a boot: so much longer they
  // are waited for. Those that did fail are listed as failed by the cloud, and returned for that.
  const bootS = others >= MIN_CORRELATED_PEERS ? (context.view.typesByName.get(machine.type)?.bootS ?? 0) : 0;
  const triesAllMs = MAX_HEARTBEAT_JITTER * reportMs + context.settings.nodes * HOP_MS + FULL_CYCLE_SLACK_MS;
  return quietMs > triesAllMs + (lease_s + bootS) * 1000;
}
