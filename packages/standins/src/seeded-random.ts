export { seededRandom } from '@redwingcrank/decisions';
