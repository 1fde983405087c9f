// Command checks47 plays the cases 6 to 10 of the second review around the real processes of the project.
//
// It starts the processes with the commands and the templates of the deploy file, on loopback addresses and the real
// clock. The store and the executors are the stand-ins of packages storeserver and executorserver in this process; the
// callers are plain HTTP. A case drives one order of events and says whether a rule of the platform was broken.
//
// # Usage
//
//	checks47 -root . -case 6 -record review/6/record.txt
//
// It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case couldn't run. With TROUBLE=0 in the
// environment, the disruption is left out.
package main
