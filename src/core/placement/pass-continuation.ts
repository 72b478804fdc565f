/** Which jobs the next placement pass tries after one that was cut short. */
import type { JobId } from '../model/ids.js';
import type { JobRecord } from '../model/jobs.js';
import type { PlacementResult } from './placement-types.js';

/**
 * Lets a pass that follows one that was cut short begin with the jobs that were not tried: otherwise jobs that find no
 * room could use up every pass, and those behind them would never be tried.
 */
export class PassContinuation {
  private readonly triedInVain = new Set<JobId>();

  /** Jobs that found no room since the last pass that tried all others. */
  get jobsTriedInVain(): ReadonlySet<JobId> {
    return this.triedInVain;
  }

  /** The jobs that the next pass is to try. */
  select(jobs: readonly JobRecord[]): JobRecord[] {
    return jobs.filter(({ spec }) => !this.triedInVain.has(spec.id));
  }

  /** Records the result of a pass over the jobs. Gangs are tried in each pass, since they may have reserved machines. */
  record(jobs: readonly JobRecord[], { waitReasons, isCutShort }: PlacementResult): void {
    const inVain = jobs.filter(({ spec }) => spec.kind !== 'gang' && waitReasons.get(spec.id) === 'no_room');
    if (!isCutShort || inVain.length === 0) this.triedInVain.clear();
    else for (const { spec } of inVain) this.triedInVain.add(spec.id);
  }
}
