/** The program's entry. */
import { run } from './cli/cli.js';

void run(process.argv);
